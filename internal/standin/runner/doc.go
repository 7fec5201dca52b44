// Package runner is a stand-in for a model engine. It serves completions over
// HTTP with adapter slots, continuous batching, resumable streams and fenced
// load orders, and it has a control API that injects faults and returns a log
// of everything it ran. It is used by tests and demonstrations only.
package runner
