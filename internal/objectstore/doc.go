// Package objectstore defines the interfaces to the platform: its object API
// with versions, conditional updates and watches, and its list of VMs and
// targets, which lags behind the actual state.
//
// Invariants of the object API: writes are linearizable, and every applied write
// has a greater revision than all earlier writes. A read may be stale unless the
// caller requires a minimum revision.
package objectstore
