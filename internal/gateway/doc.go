// Package gateway implements the front end that forwards HTTP requests to the
// services named in the configuration. Requests may have any method, path and
// body. For each request the gateway matches a route, selects a target, forwards
// the request, and retries or resumes it where the kind of the route and the
// retry budget allow it.
//
// Invariants:
//   - The target receives the method, path, query, end-to-end header fields and
//     body as the caller sent them, except for header fields that only this
//     system may set: these are dropped.
//   - A request that may not run twice is sent again only if it certainly has not
//     run.
//   - The gateway itself responds with 429 or 503 only if no target is running or
//     has run the request.
//   - A successful response carries the target's signature, belongs to the
//     request and is complete; otherwise the caller's connection is cut.
//   - Events of a stream are forwarded whole, in order and exactly once.
package gateway
