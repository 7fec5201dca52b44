// Package cli implements the command line of cicadaslip. Each subcommand is a
// Registration; cmd/cicadaslip passes the list to Run, so that other packages
// can add subcommands without a change to this package.
//
// Results go to standard output, as text or, with -o json, as one JSON value;
// failures go to standard error in the same form. The exit code identifies the
// kind of failure; docs/cli.md lists the codes.
package cli
