// Package arrivals keeps the newest requests of a VM's callers in a ring buffer of
// fixed size, so that operators can record a trace for replay. It does not keep
// prompts, only their sizes and the hashes of their prefix blocks.
package arrivals
