// Package upstream performs single HTTP exchanges with targets. Each exchange opens
// its own connection, because a reused connection may have stopped responding
// without notice, and may deliver a response that belongs to an earlier request.
//
// An error states whether the target may have received the request: Ran is
// errs.RanNo if no byte of the request was sent, otherwise errs.RanUnknown.
package upstream
