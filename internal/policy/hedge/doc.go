// Package hedge decides when a request that may be repeated gets a second
// attempt. Off is the baseline; Budget limits second attempts to a share of the
// requests. Times are durations. It returns no errors.
package hedge
