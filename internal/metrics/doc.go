// Package metrics defines the metrics that a daemon exports with expvar and holds their
// values. docs/metrics.md documents every metric; a test checks that the page agrees with
// Definitions and EdgeDefinitions.
package metrics
