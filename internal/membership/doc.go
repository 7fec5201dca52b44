// Package membership keeps a table of the VMs of the deployment: their incarnations,
// their liveness and the assignment of duties to them. An incarnation is one run of
// the process on a VM. A duty is a named responsibility that is assigned to one VM.
// The package does no I/O and reads no clock: the caller passes the time with each
// input, and Advance recomputes the states of all incarnations.
//
// States of an incarnation:
//   - alive: this VM receives its heartbeats, and it acknowledges the heartbeats of
//     this VM;
//   - suspect: no heartbeat has been received yet, or heartbeats or new
//     acknowledgements have been missing for Settings.SuspectAfter;
//   - unreachable: heartbeats or new acknowledgements have been missing for
//     Settings.UnreachableAfter;
//   - gone: a newer incarnation of the VM is registered, or the VM is missing from
//     the platform's list and has sent no heartbeat for Settings.UnreachableAfter.
//     A VM that this process has never seen in the list counts as missing only after
//     Settings.ListLag, because the list lags behind registrations.
//
// Invariants:
//   - The state gone is final for an incarnation.
//   - Heartbeats of an incarnation that is gone or superseded are rejected.
//   - A gone or unreachable VM owns no duty.
//   - Processes with the same table assign every duty to the same VM.
//   - When a VM leaves, only its duties move.
package membership
