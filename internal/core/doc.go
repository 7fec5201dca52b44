// Package core is the decision core of one target group: tables of entities
// and systems that run over them each tick. It is pure: its input is the current
// time and typed events, its output is typed commands. It uses no clock,
// goroutine, socket or unseeded random number, so that the daemon and replay
// make the same decisions.
//
// Terms:
//   - The owner of a group is the VM whose core decides for it. Each takeover
//     raises the epoch of the group.
//   - A holder is one incarnation of a VM. It holds the permits of the requests
//     that it sends to targets.
//   - A permit pins its adapter version on the target until it ends.
//   - An order tells a target to load or evict an adapter. Its intent is the
//     record that is stored before the order is sent.
//   - The takeover barrier is passed when every VM that must confirm the epoch
//     has confirmed it or is gone.
//
// Invariants:
//   - A permit is granted only for an adapter version that is resident on the
//     target, and only on a target of the required class that is not leaving.
//   - No evict intent is produced for a slot that has pins, or for any slot
//     before the takeover barrier is passed.
//   - An order is sent only after its intent was stored at the current epoch.
//   - Every queued request is answered once: it is granted, or refused as not run.
//   - A slot is evicted only after a state report of its target that was
//     requested after the barrier was passed and that lists no request without
//     a permit.
//
// Each tick runs the systems in this order: takeover barrier, former owners'
// intents, pending ends of permits, target state, orders of unknown effect,
// health, sweep of idle adapters, admission, dispatch, placement. Events change
// the tables and mark the targets and adapters that they affect; dispatch looks
// only at marked ones.
package core
