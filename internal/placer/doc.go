// Package placer implements the scheduling core of the owner of one target
// group, a set of model engines. It decides which target runs a request, which
// adapters are loaded on the targets, and which requests are refused. The core
// is deterministic: the caller passes the time with each input, and Tick returns
// commands for the caller to execute. It uses no clock, goroutine, socket or
// random number.
//
// Invariants:
//   - A request is granted only to a target that is not leaving and that has the
//     request's adapter ready in a version that may still be used.
//   - An adapter slot counts as taken from the moment an order may reach the
//     target until the target has confirmed that the slot is free, so a target is
//     never ordered to load more adapters than fit.
//   - At most one order per target is in flight. Each order carries the number of
//     orders that the target has accepted so far as its precondition. An
//     unanswered order is repeated with the same number, so the target executes
//     it at most once.
//   - Every queued request is answered exactly once: it is granted, or refused
//     without having run.
//
// Requests that can still meet their latency objective are granted before those
// that cannot. Late requests use the remaining capacity until their deadline.
//
// If requests name organisations, the rank of a request comes from the priority of its
// organisation and then that of its route. Requests of the same rank are shared fairly between
// organisations (shares), and those that cannot start in time behind the requests ahead of them
// are refused on arrival (forecast).
package placer
