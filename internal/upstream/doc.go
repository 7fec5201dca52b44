// Package upstream makes one HTTP exchange with a target. Each exchange has a
// connection of its own: a kept one may have gone silent, and may carry an answer
// that belongs to an earlier request.
//
// A failure says whether the target may have seen the request: errs.RanNo if no
// byte of it was sent, else errs.RanUnknown.
package upstream
