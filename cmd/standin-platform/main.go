// Command standin-platform serves the platform's object API and list of targets over
// HTTP from memory. It prints its address as one line on standard output and exits
// on SIGTERM or SIGINT. Exit codes: 0 after a signal, 1 after a failure, 2 for
// wrong options.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/standin/platform"
)

type options struct {
	Listen  string        `long:"listen" default:"127.0.0.1:0" description:"ip:port to listen on; port 0 selects a free port"`
	ListLag time.Duration `long:"list-lag" default:"1s" description:"time until a new list of targets becomes visible"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	server := platform.New()
	server.List.SetLag(o.ListLag)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	fmt.Println(listener.Addr())
	select {
	case err := <-serveErr:
		return err
	case <-signals:
		return server.Close()
	}
}
