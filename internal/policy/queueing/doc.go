// Package queueing decides which of the queued requests that could run now is
// granted next. FIFO is the baseline; Fair orders by the organisations' shares
// and separates short from long work. It returns no errors.
package queueing
