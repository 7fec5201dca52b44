//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cicadaslip/internal/standin/engine"
)

const (
	host        = "ficu95.example"
	llmService  = "dele69a"
	modelName   = "daka510000"
	quoteEvents = 13 // of the kind of request "quote-draft"
	readEvents  = 73 // of the kind of request "garment-read"
	places      = 9
	cacheTokens = 242627
)

// configure writes a configuration with one streaming route, with figures of the small
// deployments.
func (d *deployment) configure(headerBytes int) error {
	return d.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-quotes", "host": host, "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 1000,
			"priority": 1, "service": llmService, "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 600,
		}},
		"services": []any{map[string]any{"name": llmService, "max_connections": 360, "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": cacheTokens, "stride": 4, "weights_mb": 75000.0, "adapter_slots": places, "loads_per_s": 2.1,
			"models": []any{map[string]any{"name": modelName, "weights_mb": 72700.0, "load_time_s": 2.1, "adapters": 3000, "adapter_mb": 66.0}},
		}}},
		"limits": map[string]any{"max_header_bytes": headerBytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startEngines starts runners.
func (d *deployment) startEngines(count, events int, pause time.Duration) error {
	for i := range count {
		t, err := engine.Start(engine.Settings{
			ID: fmt.Sprintf("i-%08x", i+1), Service: llmService, Zone: zones[i%len(zones)], Model: modelName, Slots: 64, Adapters: places,
			Events: events, Pause: pause, Load: 250 * time.Millisecond,
		}, d.store)
		if err != nil {
			return err
		}
		d.engines = append(d.engines, t)
	}
	go d.beat()
	return nil
}

// beat keeps the entries of the runners in the store.
func (d *deployment) beat() {
	for {
		time.Sleep(1200 * time.Millisecond)
		d.mu.Lock()
		stopping := d.stopping
		d.mu.Unlock()
		if stopping {
			return
		}
		for _, t := range d.engines {
			_ = t.Beat()
		}
	}
}

// recordRuns notes how many requests each runner has run.
func (d *deployment) recordRuns() {
	for _, t := range d.engines {
		runs, finished := t.Runs(), 0
		for _, r := range runs {
			if r.Finished {
				finished++
			}
		}
		d.record.printf("%s has run %d requests, %d to their end", t.Settings.ID, len(runs), finished)
	}
}

// request is a request of a client to the streaming route.
type request struct {
	id       string
	adapter  int    // number of the adapter, 0 for the base model
	parts    string // X-Prompt-Prefix
	tokens   int    // of the prompt
	events   int    // of the answer
	deadline time.Duration
	more     string // further header lines, each with its end
}

var requestNumber atomic.Int64

func nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1)) }

// model returns the model or adapter that the request names.
func (q request) model() string {
	if q.adapter == 0 {
		return modelName
	}
	return fmt.Sprintf("%s/a%d", modelName, q.adapter)
}

// head returns the head of a request, without a body.
func (q request) head() string {
	return fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: %s\r\nX-Token-Usage: %d,%d\r\nX-Prompt-Prefix: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: 0\r\n\r\n",
		host, q.id, q.model(), q.tokens, 4*q.events, q.parts, q.deadline.Milliseconds(), q.more)
}

// answer is what a client got.
type answer struct {
	status int  // 0 for none
	whole  bool // the body ended as its framing says
	took   time.Duration
}

// send sends a request to a VM on a connection of its own and reads the answer.
func send(v *vm, q request) answer {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", v.front(), time.Second)
	if err != nil {
		return answer{took: time.Since(began)}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(q.deadline))
	if _, err := io.WriteString(conn, q.head()); err != nil {
		return answer{took: time.Since(began)}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{took: time.Since(began)}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return answer{status: resp.StatusCode, whole: err == nil, took: time.Since(began)}
}

// tally records answers and counts them by status.
type tally struct {
	record *record

	mu       sync.Mutex
	statuses map[int]int
}

// ask sends a request to a VM and notes the answer.
func (t *tally) ask(v *vm, q request) {
	t.note(v, q, send(v, q))
}

// note records the answer to a request.
func (t *tally) note(v *vm, q request, a answer) {
	t.record.printf("%s to %s for a%d: status %d, whole %t, after %d ms", q.id, v.name, q.adapter, a.status, a.whole, a.took.Milliseconds())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses == nil {
		t.statuses = map[int]int{}
	}
	if a.status == http.StatusOK && !a.whole {
		a.status = -1
	}
	t.statuses[a.status]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.statuses, " by status, 0 for no answer, -1 for a stream that was cut")
}
