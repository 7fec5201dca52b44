// Package testcluster starts the stand-ins and daemons as processes on loopback
// for the demo and for tests that only processes can show: kills, pauses,
// restarts and signals. The product does not use it.
package testcluster
