// Package httpstore is the client of the platform's HTTP object API and list.
//
// Invariants: a write is sent at most once per call; a failure after a
// connection was opened for a write is errs.StoreAmbiguous, because the write
// may have taken effect or may still do so; each call ends by its context's
// deadline or the client's call timeout, whichever is earlier. After a timeout
// all idle connections are closed, because connections can go silent together
// while new ones work; a read is then repeated once on a new connection.
package httpstore
