// Package estimate learns the service time of requests from what was observed:
// the time to the first token by prompt length and the time between tokens by
// the number of requests that ran at the same time. Times are durations; an
// estimate of zero means that nothing was observed yet. It returns no errors.
package estimate
