// Package quota keeps the usage of organisations within limits that hold over all VMs. It reads
// no clock and sends no messages: callers pass in the time, which must also advance while the VM
// is suspended, and carry calls and replies.
//
// For each organisation one VM, the coordinator, keeps a token bucket. The other VMs hold credit
// that it has granted (Holder). Requests take from this credit before they are queued or sent.
// See docs/design/quotas.md.
package quota
