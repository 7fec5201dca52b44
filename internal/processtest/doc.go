// Package processtest tests whole deployments as processes on loopback: kills,
// pauses, restarts and outages that only processes can show. Its checker reads
// only what the targets ran and what the callers saw.
package processtest
