// Package loadcoord decides which adapter load may start next. The weights
// store's rate is the scarcest resource, so one coordinator for all groups
// hands out load permits: requests are ordered by the worth of the waiting work
// and its deadline. It is pure: the current time is an input.
package loadcoord
