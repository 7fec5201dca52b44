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
//   - every queued request is answered once: granted or refused as not run.
package core
