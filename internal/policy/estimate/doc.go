// Package estimate derives the expected service time of requests from observations:
// the time to the first token by prompt length, and the time between tokens by the
// number of requests that run concurrently. Times are durations; an estimate of zero
// means that there was no observation yet. The package returns no errors.
package estimate
