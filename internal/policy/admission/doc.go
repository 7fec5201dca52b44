// Package admission decides which requests are refused because they cannot be
// answered by their deadlines. DeadlineOnly is the baseline; Early refuses as
// soon as that is known. Times are durations. It returns no errors.
package admission
