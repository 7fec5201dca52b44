// Package memstore is an in-memory implementation of the platform's object API
// and of its list of VMs and targets, with deterministic fault injection. Tests
// use it directly, and the platform stand-in serves it over HTTP.
//
// Invariants:
//   - Faults depend only on the injected rules, the order of the calls and the
//     clock, never on random numbers.
//   - Every applied write has the revision after that of the previous write.
//   - A write that returned errs.StoreAmbiguous under DelayWrite is applied only
//     when ApplyDelayed is called or Rule.AfterCalls further calls were made. It
//     then takes effect only if its condition still holds.
package memstore
