package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/standin/service"
)

type options struct {
	Listen  string `long:"listen" default:"127.0.0.1:0" description:"address to listen on; port 0 selects a free port"`
	Control string `long:"control" default:"127.0.0.1:0" description:"address of the control API, reachable while calls are refused"`
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
	s, err := service.New(o.Listen)
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", o.Control)
	if err != nil {
		return err
	}
	fmt.Printf("listening %s control %s\n", s.Address(), control.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		s.Close()
		os.Exit(0)
	}()
	return s.ServeControl(control)
}
