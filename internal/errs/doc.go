// Package errs defines the typed error that every package of cicadaslip returns.
// Its Code names the failure; its Ran value says whether the failed request ran
// on a target.
//
// Invariant: RanNo is used only if no byte of the request can have reached a
// target and none will be sent later, or if the target states that the request
// did not run.
package errs
