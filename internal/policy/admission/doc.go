// Package admission decides which requests are refused because they cannot be
// answered by their deadlines. DeadlineOnly is the baseline and refuses requests
// whose deadline has passed. Early refuses a request as soon as it is expected
// to miss its deadline. Points in time are durations since a common origin. The
// package returns no errors.
package admission
