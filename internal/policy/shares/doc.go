// Package shares accounts for the work that organisations receive relative to their
// shares of the capacity, by weighted fair queueing. Work is in token equivalents.
// While an organisation is idle, others use its capacity; when it returns, it is
// repaid up to a credit. The package returns no errors.
package shares
