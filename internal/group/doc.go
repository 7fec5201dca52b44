// Package group maps targets to target groups and keeps the record of each group in
// the store.
//
// Invariants:
//   - The group of a target depends only on the target itself and on the
//     configured number of groups. Adding or removing targets therefore never
//     moves another target to a different owner.
//   - A record is written only by a conditional create or update, and each
//     takeover increases its epoch by one.
package group
