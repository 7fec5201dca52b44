// Package target is the client to model runners and plain services. It
// dispatches requests, verifies that every answer names the request, adapter
// and version that were asked for, detects streams that fall silent, resumes
// them at their offset, and sends fenced orders.
//
// Invariants:
//   - every exchange uses a fresh connection, because an established one may
//     have gone silent for ever while new ones work;
//   - an error has Ran = not_run only if no byte of the request was handed to
//     the operating system, or the target said that it refused the request;
//   - an answer that names another request, adapter or version is counted and
//     never passed on;
//   - a stream succeeds only with its final chunk.
//
// Answers are always read as streams, also for callers that want them whole:
// a whole answer shows no token cadence by which silence could be noticed.
package target
