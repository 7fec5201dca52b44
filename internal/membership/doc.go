// Package membership is the table of the system's VMs: their incarnations and
// liveness, and the placement of duties on them. It is pure: the caller gives
// the time with each input, and Advance runs the systems over the table.
//
// Liveness of an incarnation:
//   - alive: it is heard, and it hears this VM;
//   - suspect: one of the two is missing for Settings.SuspectAfter;
//   - unreachable: one of the two is missing for Settings.UnreachableAfter;
//   - gone: a newer incarnation of the VM is registered, or the platform's list
//     does not show the VM and it has been silent for UnreachableAfter. A VM
//     that this process never saw in the list counts as not shown only after
//     Settings.ListLag, because the list lags behind registrations.
//
// Invariants: gone is final for an incarnation; heartbeats of a gone or older
// incarnation are refused; a gone or unreachable VM owns no duty; processes
// with the same table place every duty on the same VM; when a VM leaves, only
// its duties move.
package membership
