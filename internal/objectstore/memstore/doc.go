// Package memstore is an in-memory implementation of the platform's object API
// and list with deterministic fault injection. Tests use it directly; the
// platform stand-in serves it over HTTP.
//
// Invariants: faults follow only from the rules that were set, the order of
// the calls and the clock, never from chance; every applied write has a
// revision one above the last; a write that returns errs.StoreAmbiguous under
// DelayWrite takes effect, if its condition still holds, only when
// ApplyDelayed is called or the rule's number of further calls has passed.
package memstore
