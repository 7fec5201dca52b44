// Package frontend serves callers over HTTP: it authenticates, validates,
// obtains a permit (and, for at-most-once kinds, a claim), sends the request to
// its target and passes the whole answer on.
package frontend
