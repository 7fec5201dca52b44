// Package owner runs the decision cores of the target groups that this VM owns.
// A Manager takes groups over and gives them up; a runtime drives one core:
// it turns calls and results into events and carries the core's commands out
// against the store, the targets and the peers.
//
// Invariants: an order is sent only after the store confirmed its intent at the
// runtime's epoch; a runtime that has stepped down sends no order and all of its
// orders have ended before the step-down is reported; a caller of Acquire gets
// exactly one reply.
package owner
