// Package permit is the front end's side of permits: it picks a target group,
// waits in its owner's queue, holds the permits and returns them.
//
// Invariants: a permit of an epoch that is older than the confirmed one is never
// used; confirming an epoch and accepting a permit exclude each other, so that
// the list of held permits given with a confirmation is complete; a permit that
// was given up (time-out, cancelled wait) is never used and is reported to the
// owner until the owner acknowledges it.
package permit
