// Package permit obtains and returns permits on behalf of the front end: it picks
// a target group, waits in the queue of the group's owner, holds granted permits
// and returns them to the owner.
//
// Invariants:
//   - A permit with an epoch older than the confirmed epoch of its group is never
//     used.
//   - Confirming an epoch and accepting a permit exclude each other, so the list
//     of held permits that is returned with a confirmation is complete.
//   - A permit that was abandoned (time-out, cancelled wait) is never used and is
//     reported to the owner until the owner acknowledges it.
package permit
