// Package service is a stand-in for a plain service whose calls must not be
// repeated. It records every call that it ran, so that a checker can compare
// the record with what callers were told. It is used by tests and
// demonstrations only.
package service
