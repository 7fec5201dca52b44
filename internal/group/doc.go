// Package group maps targets to target groups and holds the group's record in
// the store.
//
// Invariants: the group of a target depends only on the target itself and on
// the configured number of groups, so that adding or removing targets never
// moves a target to another owner; the record changes only by conditional
// update, and its epoch rises by one with each takeover.
package group
