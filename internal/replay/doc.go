// Package replay runs traces of requests and faults through the decision core,
// the load coordinator and the routing policy in virtual time, and measures the
// result against the plain baseline on the same trace.
//
// The only model of the outside is a small rule for the service time of a
// target (engine.go). The store, the peers and takeovers are not simulated:
// intents are stored after a fixed delay.
//
// Invariants: a run uses no clock and no goroutine, and equal traces, options
// and seeds give equal results; the checker reads only what targets and callers
// saw, never the tables of a core.
package replay
