// Package hedge decides when a request that may be retried gets a second attempt on
// another target while the first one is running. Off is the baseline. Budget limits
// second attempts to a share of all requests. Times are durations. The package returns
// no errors.
package hedge
