// Package daemon assembles the components of a cicadaslipd process: it registers
// the VM, follows the configuration and the platform's list of VMs and targets,
// exchanges heartbeats, takes over duties (target groups, journal shards, load
// coordination, clean-up of the store) and serves callers.
//
// Invariants: the VM registers before it reads the epochs of the groups, and
// accepts requests of callers only after both steps. A draining VM keeps its
// duties until another VM has taken them over or the drain limit has passed.
package daemon
