// Package admin contains the net/rpc service through which the command-line
// tool queries and drains the daemons, and the client of this service. The
// daemon implements the small interfaces from which the service takes its data.
// The client calls all given addresses in parallel and reports which daemons
// did not answer.
package admin
