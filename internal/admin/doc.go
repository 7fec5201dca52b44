// Package admin is the net/rpc service through which the command-line tool asks
// the daemons, and its client. The service is defined over small interfaces that
// the daemon implements. The client asks all given addresses in parallel and
// tells which did not answer.
package admin
