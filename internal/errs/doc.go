// Package errs defines the typed error that every package of cicadaslip
// returns. A Code names the failure; Ran says whether the request that failed
// ran on a target. Invariant: RanNo is only used when no byte of the request
// can have reached a target and none will be sent later.
package errs
