// Package placement decides which adapter is loaded next and which slot is
// given up for it. LRU is the baseline; Demand compares the value of the uses.
// It returns no errors.
package placement
