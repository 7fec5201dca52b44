// Package placement decides which adapter is loaded next and which resident adapter
// is evicted for it. LRU is the baseline. Demand compares the values of the waiting
// and expected requests. The package returns no errors.
package placement
