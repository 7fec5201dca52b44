// Package gateway is the front end that passes requests of any method, path and
// body on to the services that the configuration names. It finds the route, asks
// for a target, makes the exchange, and repeats or resumes it where the kind of
// the route and the budget allow it.
//
// Invariants:
//   - method, path, query, end-to-end header fields and body reach the target as
//     the caller sent them; fields that only this system may set do not;
//   - a request of a kind that may not be repeated is sent again only if it was
//     certainly not run;
//   - 429 and 503 are answered only if no target runs or ran the request;
//   - a success carries the target's signature, belongs to the request, and is
//     complete, or the connection is cut;
//   - the events of a stream are passed on whole, in order and once.
package gateway
