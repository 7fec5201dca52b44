// Package metrics holds the names, units and values of what a daemon exports
// with expvar. docs/metrics.md documents every name; a test keeps the page and
// Definitions equal.
package metrics
