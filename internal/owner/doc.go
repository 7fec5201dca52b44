// Package owner runs the decision cores of the target groups that this VM owns.
// A Manager takes ownership of groups and gives it up. A runtime drives one
// core: it converts calls and results into events and executes the core's
// commands against the store, the targets and the peers.
//
// Invariants:
//   - An order is sent only after the store has confirmed its intent at the
//     runtime's epoch.
//   - A runtime that has stepped down sends no orders, and all of its orders
//     have ended before the step-down is reported.
//   - A caller of Acquire gets exactly one reply.
package owner
