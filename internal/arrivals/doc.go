// Package arrivals keeps the newest requests of a VM's callers in a bounded ring,
// so that operators can record a trace for replay. Prompts are not kept, only
// their sizes and the hashes of their prefix blocks.
package arrivals
