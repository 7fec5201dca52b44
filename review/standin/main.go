//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// cases are the scripted cases by name. Each returns how the rule was broken, nothing if it held.
var cases = map[string]func(w *world) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(w *world) ([]string, error), path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	w, err := newWorld(file, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	time.AfterFunc(limit, func() {
		w.note("the time of the case is over")
		w.close()
		os.Exit(exitNotRun)
	})
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := run(w)
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	for _, b := range broken {
		w.note("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
