// Command cicadaslip operates a cicadaslip deployment. docs/cli.md describes
// its subcommands and exit codes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cicadaslip/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, append(cli.Commands(), configCommand))
	stop()
	os.Exit(code)
}
