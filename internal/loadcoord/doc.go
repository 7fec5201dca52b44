// Package loadcoord decides which adapter is loaded next from the weights store.
// The rate of the weights store is the scarcest resource, so one coordinator
// grants the load permits of all groups, in the order of the worth and deadline
// of the waiting work. The package reads no clock: the current time is an input.
package loadcoord
