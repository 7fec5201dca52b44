// Package core is the decision core of one target group: tables of entities
// and systems that run over them each tick. It is pure. Input is the current
// time and typed events; output is typed commands. It uses no clock, goroutine,
// socket or unseeded random number, so that the daemon and replay run the same
// decisions.
//
// Invariants:
//   - a permit is granted only for an adapter version that is resident on the
//     target, and only on a target that is neither leaving nor of another class;
//   - no evict intent is produced for a slot that has pins, or for any slot
//     before the takeover barrier is passed;
//   - an order is sent only after its intent was stored at the current epoch;
//   - every queued request is answered once: granted or refused as not run;
//   - a slot is evicted only after a statement of its target that was asked for
//     after the barrier and that lists no request without a permit.
//
// Each tick runs the systems in this order: takeover barrier, former owners'
// intents, ending permits, target state, orders, health, popularity, admission,
// dispatch, placement. Events change the tables and mark the targets and
// adapters that they touch; dispatch looks only at those.
package core
