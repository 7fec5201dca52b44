// Package httpstore is the client of the platform's HTTP object API and of the
// platform's list of VMs and targets.
//
// Invariants:
//   - A write is sent at most once per call.
//   - If a write gets no usable response after a connection was opened for it,
//     the error is errs.StoreAmbiguous, because the write may have taken effect
//     or may still do so.
//   - Each call ends by its context's deadline or the client's call timeout,
//     whichever is earlier.
//   - After a timeout all idle connections are closed, because connections can
//     stop responding together while new ones work. A read is then repeated once
//     on a new connection.
package httpstore
