// Package queueing decides which of the queued requests that could run now is
// granted next. FIFO is the baseline. Fair grants according to the shares of the
// organisations and separates short from long requests. The package returns no
// errors.
package queueing
