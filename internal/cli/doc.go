// Package cli is the command line of cicadaslip. Each subcommand is a
// Registration; cmd/cicadaslip passes the list to Run, so that other packages
// add theirs without a change here.
//
// Results go to standard output, as text or, with -o json, as one JSON value;
// failures go to standard error in the same form. The exit code says what kind
// of failure it was; docs/cli.md lists the codes.
package cli
