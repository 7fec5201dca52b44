// Package target is the client for model runners and plain services. It
// dispatches requests, verifies that every answer names the requested request ID,
// adapter and version, detects idle streams, resumes them at their offset, and
// sends orders that carry a fencing token.
//
// Invariants:
//   - Every request uses a new connection, because an established connection
//     may have stopped delivering data for good while new ones work.
//   - An error has Ran = not_run only if no byte of the request was handed to
//     the operating system, or the target stated that the request did not run.
//   - An answer that names another request, adapter or version is counted and
//     never passed on.
//   - A stream succeeds only if its final chunk arrives.
//
// Answers are always read as streams, also for callers that need the whole
// answer at once: without streaming there is no token cadence from which a
// stalled target could be detected.
package target
