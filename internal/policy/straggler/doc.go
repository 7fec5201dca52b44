// Package straggler detects targets that are slower than the others from the
// observed token gaps and first-token times, never from load reports. Off is
// the baseline. Times are durations. It returns no errors.
package straggler
