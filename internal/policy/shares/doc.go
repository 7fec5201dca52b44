// Package shares keeps the ledger of work that organisations received against
// their shares of capacity. Work is in token equivalents. An organisation that
// is idle lends its capacity and is repaid, up to a credit, when it returns.
// It returns no errors.
package shares
