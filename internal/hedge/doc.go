// Package hedge decides when a request that may be repeated is sent to a second target while the
// first one is at work: after which time, whether the operator's limit allows it, and when it is
// suppressed. It reads no clock: callers pass in the time. docs/design/hedging.md tells why it
// decides so.
package hedge
