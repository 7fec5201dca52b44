// Package objectstore is the port to the platform: its object API (versions,
// conditional updates, watches) and its lagging list of VMs and targets.
//
// Invariants of the object API: writes are linearizable and every applied
// write has a revision greater than all earlier ones; reads may be stale
// unless a minimum revision is demanded.
package objectstore
