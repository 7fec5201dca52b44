// Command soak runs the fault-injection soak test of internal/soak for a range of
// seeds, several runs at a time. Exit codes: 0 without violations, 1 with
// violations or after a failure, 2 for wrong options.
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
	Program     string `long:"program" required:"true" description:"path of the cicadaslipd binary"`
	Seed        uint64 `long:"seed" default:"1" description:"first seed"`
	Seeds       int    `long:"seeds" default:"1" description:"number of seeds"`
	Seconds     int    `long:"seconds" default:"12" description:"duration of the fault injection in a run, in seconds"`
	Planned     bool   `long:"planned" description:"no other faults than silent targets, changed configurations, SIGHUP and SIGTERM"`
	Restores    bool   `long:"restores" description:"the store comes back from older copies in all seeds, not in one of four"`
	HardLoad    bool   `long:"hard-load" description:"organisations with keys and quotas, and callers that read slowly, in all seeds, not in one of three"`
	VMs         int    `long:"processes" default:"4" description:"number of entry VMs in a run"`
	Concurrency int    `long:"at-once" default:"2" description:"number of concurrent runs"`
	LogDir      string `long:"keep" default:"soak-logs" description:"directory for the logs of runs with violations"`
}

// hardLoadSeeds: one of so many seeds runs with hard load.
const hardLoadSeeds = 3

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
	slots := make(chan struct{}, max(1, o.Concurrency))
	var runs sync.WaitGroup
	for i := range o.Seeds {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			passed := run(o, o.Seed+uint64(i))
			mu.Lock()
			defer mu.Unlock()
			failed = failed || !passed
		})
	}
	runs.Wait()
	if failed {
		os.Exit(1)
	}
}

// run executes the soak test with one seed, prints the result as a JSON line and
// reports whether the run completed without violations. It removes the logs of
// such a run.
func run(o options, seed uint64) bool {
	dir := filepath.Join(o.LogDir, "seed-"+strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	result, err := soak.Run(soak.Options{Seed: seed, Seconds: o.Seconds, VMs: o.VMs, Planned: o.Planned, Restores: o.Restores, HardLoad: o.HardLoad || seed%hardLoadSeeds == 0, Program: o.Program, Dir: dir})
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
		_ = os.RemoveAll(dir) // best effort
	}
	return len(result.Violations) == 0
}
