// Package placer is the decision core of the owner of one target group of
// model engines. It decides which target runs a request, which adapters the
// targets hold, and which requests are refused. It is pure: the caller gives the
// time with each input, and Tick returns commands. It uses no clock, goroutine,
// socket or random number.
//
// Invariants:
//   - a request is granted only to a target that holds its adapter in a version
//     that may still be used, and that is not leaving;
//   - an adapter slot counts as taken from the moment an order may reach the
//     target until the target has said that the slot is free, so that a target
//     is never ordered to hold more than it can;
//   - one order at a time is under way to a target, and each carries the number
//     of orders that the target has accepted so far; an order that got no answer
//     is repeated with the same number, so that it is carried out at most once;
//   - every queued request is answered once: granted, or refused as not run.
//
// A request that can still be answered within its objective goes before those
// that cannot. Late ones use the capacity that is left, until their deadline.
package placer
