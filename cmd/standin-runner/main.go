package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/standin/runner"
)

type options struct {
	Listen        string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on; port 0 selects a free port"`
	Name          string        `long:"name" description:"name of the target"`
	Slots         int           `long:"slots" default:"4" description:"number of adapter slots"`
	Concurrency   int           `long:"concurrency" default:"8" description:"maximum number of requests that generate tokens at the same time"`
	LoadTime      time.Duration `long:"load-time" default:"250ms" description:"duration of one adapter load"`
	TokenInterval time.Duration `long:"token-interval" default:"5ms" description:"time between tokens of one request"`
	ReportLag     time.Duration `long:"report-lag" default:"500ms" description:"age of the load report"`
	CheckFencing  bool          `long:"check-fencing" description:"refuse orders with a fencing token older than the newest one received"`
	Weights       string        `long:"weights" description:"address of the stand-in runner that counts the adapter loads in transit of all runners"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
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
	config := runner.Config{
		Name: o.Name, Slots: o.Slots, Concurrency: o.Concurrency, LoadTime: o.LoadTime,
		TokenInterval: o.TokenInterval, ReportLag: o.ReportLag, CheckFencing: o.CheckFencing,
	}
	if o.Weights != "" {
		config.Transit = &runner.RemoteTransit{Address: o.Weights}
	}
	r := runner.New(config)
	fmt.Printf("listening %s\n", listener.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		r.Close()
		os.Exit(0)
	}()
	return r.Serve(listener)
}
