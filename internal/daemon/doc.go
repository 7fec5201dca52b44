// Package daemon wires one cicadaslipd: it registers the VM, follows the
// configuration and the platform's list, exchanges heartbeats, takes duties
// over (target groups, journal shards, load coordination) and serves callers.
//
// Invariants: the VM registers before it reads the groups' epochs, and takes
// callers' requests only after both; a draining VM keeps its duties until
// another VM has taken them over or the drain's limit is reached.
package daemon
