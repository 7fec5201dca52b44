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
	Listen        string        `long:"listen" default:"127.0.0.1:0" description:"address, port 0 takes a free port"`
	Name          string        `long:"name" description:"name of the target"`
	Slots         int           `long:"slots" default:"4" description:"adapter slots"`
	Concurrency   int           `long:"concurrency" default:"8" description:"requests that generate at the same time"`
	LoadTime      time.Duration `long:"load-time" default:"250ms" description:"time of one adapter load"`
	TokenInterval time.Duration `long:"token-interval" default:"5ms" description:"time between tokens of one request"`
	ReportLag     time.Duration `long:"report-lag" default:"500ms" description:"age of the load report"`
	CheckFencing  bool          `long:"check-fencing" description:"refuse orders with an old fencing token"`
	Weights       string        `long:"weights" description:"address of the runner that counts the loads of all"`
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
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	cfg := runner.Config{
		Name: o.Name, Slots: o.Slots, Concurrency: o.Concurrency, LoadTime: o.LoadTime,
		TokenInterval: o.TokenInterval, ReportLag: o.ReportLag, CheckFencing: o.CheckFencing,
	}
	if o.Weights != "" {
		cfg.Transit = &runner.RemoteTransit{Address: o.Weights}
	}
	r := runner.New(cfg)
	fmt.Printf("listening %s\n", l.Addr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		r.Close()
		os.Exit(0)
	}()
	return r.Serve(l)
}
