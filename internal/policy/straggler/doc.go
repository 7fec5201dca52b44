// Package straggler detects targets that are slower than the other targets. It uses
// the observed token gaps and times to the first token, and no load reports. Off is
// the baseline. Times are durations since an arbitrary start. The package returns no
// errors.
package straggler
