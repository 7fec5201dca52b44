// Command soak runs the fault soak of internal/soak: seed after seed, some at the
// same time. Exit codes: 0 without violations, 1 with some or after a failure.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/soak"
)

type options struct {
	Program string `long:"program" required:"true" description:"cicadaslipd"`
	Seed    uint64 `long:"seed" default:"1" description:"first seed"`
	Seeds   int    `long:"seeds" default:"1" description:"number of seeds"`
	Seconds int    `long:"seconds" default:"12" description:"time of the faults in a run"`
	VMs     int    `long:"processes" default:"4" description:"entry VMs in a run"`
	At      int    `long:"at-once" default:"2" description:"runs at the same time"`
	Keep    string `long:"keep" default:"soak-logs" description:"folder for the logs of runs with violations"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	var mu sync.Mutex
	failed := false
	places := make(chan struct{}, max(1, o.At))
	var wait sync.WaitGroup
	for i := range o.Seeds {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			good := run(o, o.Seed+uint64(i))
			mu.Lock()
			defer mu.Unlock()
			failed = failed || !good
		})
	}
	wait.Wait()
	if failed {
		os.Exit(1)
	}
}

// run runs one seed and prints its result. The logs of a run without violations are
// removed.
func run(o options, seed uint64) bool {
	dir := filepath.Join(o.Keep, "seed-"+strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	result, err := soak.Run(soak.Options{Seed: seed, Seconds: o.Seconds, VMs: o.VMs, Program: o.Program, Dir: dir})
	if err != nil {
		fmt.Fprintln(os.Stderr, "seed", seed, err)
		return false
	}
	line, err := json.Marshal(result)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Println(string(line))
	if len(result.Violations) == 0 {
		_ = os.RemoveAll(dir) // what stays is only in the way
	}
	return len(result.Violations) == 0
}
