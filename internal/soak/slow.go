package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryMB and descriptors are those of the smallest VM of docs/hard-load.md.
	memoryMB    = 144
	descriptors = 3075
	// slowCallers read their streams slowly, most of them from one VM. Engines have fewer slots with
	// Options.Planned.
	slowCallers        = 16
	slowCallersPlanned = 3
	// Events of slow callers have 16 to 512 KiB.
	minSlowEvent   = 16 << 10
	maxSlowDoubled = 5
	slowPart       = 64 << 10 // read between two pauses
	maxReadPause   = 400 * time.Millisecond
)

// slowReaders returns the number of callers that read slowly.
func (r *run) slowReaders() int {
	switch {
	case !r.options.HardLoad:
		return 0
	case r.options.Planned:
		return slowCallersPlanned
	}
	return slowCallers
}

// callSlowly sends requests for streams with large events and reads them slowly, until ctx ends.
func (r *run) callSlowly(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		v := r.vms[0]
		if rng.IntN(4) == 0 {
			v = r.anyVM(rng)
		}
		q := r.next([]string{kindQuote, kindNotes}[rng.IntN(2)], rng.IntN(adapters))
		q.eventBytes = minSlowEvent << rng.IntN(maxSlowDoubled+1)
		q.readPause = time.Duration(1 + rng.Int64N(int64(maxReadPause)))
		r.checker.note(r.send(client, v, q))
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// readBody reads the body of an answer, with pauses if the caller reads slowly.
func (q outgoing) readBody(body io.Reader) (string, error) {
	if q.readPause == 0 {
		text, err := io.ReadAll(body)
		return string(text), err
	}
	text := new(strings.Builder)
	for {
		switch _, err := io.CopyN(text, body, slowPart); {
		case errors.Is(err, io.EOF):
			return text.String(), nil
		case err != nil:
			return text.String(), err
		}
		time.Sleep(q.readPause)
	}
}

// noteMemory records the most memory that the process of this VM has used, where the system tells.
// The caller holds the lock.
func (v *vm) noteMemory() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kB, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64) // of the kernel
			v.memory = max(v.memory, kB*1024/1e6)
		}
	}
}

// checkMemory checks that processes stay within the memory of their VMs beside callers that read
// slowly.
func (r *run) checkMemory() {
	if !r.options.HardLoad {
		return
	}
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	for _, v := range r.vms {
		v.mu.Lock()
		v.noteMemory()
		if v.memory > memoryMB {
			r.checker.fail("MEMORY: a process of %s used %.0f of %d MB", v.name, v.memory, memoryMB)
		}
		v.mu.Unlock()
	}
}
