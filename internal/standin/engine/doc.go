// Package engine is a stand-in of the users' platform's targets: model engines,
// which stream events, hold adapters and take orders, and plain services. It
// records every request that it ran, and misbehaves as it is told.
package engine
