// Package frontend serves the HTTP API for callers. For each request it
// authenticates the organisation, validates the input, acquires a permit (and a
// claim for calls of at-most-once kinds), sends the request to the target of the
// permit and returns the answer to the caller.
package frontend
