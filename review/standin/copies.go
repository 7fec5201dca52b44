//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["copies"] = playCopies }

const (
	copiesPlaces   = 9 // for adapters, as on the sheet
	copiesAdapters = 60
	copiesTime     = 80 * time.Second
	// mostCopies is how many answers to orders are repeated, of some thousands.
	mostCopies = 8
	// copiesSpan is how long the trouble lasts, and the time until it comes again.
	copiesSpan = 5 * time.Second
)

// playCopies lets clients leave streams while runners go on with them, and a runner repeat an
// answer to an order, late. No runner may be ordered to load more than it has places for.
func playCopies(w *world) ([]string, error) {
	if err := w.startStore(); err != nil {
		return nil, err
	}
	if err := w.configure(7, copiesPlaces); err != nil {
		return nil, err
	}
	var runners []*runner
	for i := range 3 {
		r := &runner{
			id: fmt.Sprintf("i-llm%d", i), service: "assistant-llm", zone: zones[i], engine: true, events: 73, pause: 50 * time.Millisecond,
			loadTime: 250 * time.Millisecond, places: copiesPlaces, keepsRuns: true,
		}
		if w.trouble && i == 0 {
			r.lateCopies = mostCopies
		}
		if err := w.startRunner(r); err != nil {
			return nil, err
		}
		runners = append(runners, r)
		app := &runner{id: fmt.Sprintf("i-app%d", i), service: "counter-app", zone: zones[i], pause: 30 * time.Millisecond}
		if err := w.startRunner(app); err != nil {
			return nil, err
		}
	}
	if err := w.startAll(3, func(int) string { return w.store.Address() }); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), copiesTime)
	defer cancel()
	var clients sync.WaitGroup
	var sent, served, left atomic.Int64
	for i := range 24 {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				leaves := rng.IntN(4) == 0
				whole := w.streamOnce(ctx, w.vms[(i+n)%len(w.vms)], fmt.Sprintf("q%d-%d", i, n), rng.IntN(copiesAdapters), leaves)
				sent.Add(1)
				switch {
				case leaves:
					left.Add(1)
				case whole:
					served.Add(1)
				}
				time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			}
		})
	}
	crashed := ""
	for ctx.Err() == nil && crashed == "" {
		time.Sleep(20 * time.Millisecond)
		for _, r := range runners {
			if crashed = r.whyCrashed(); crashed != "" {
				break
			}
		}
	}
	cancel()
	clients.Wait()
	orders := 0
	for _, r := range runners {
		r.mu.Lock()
		orders += len(r.orders)
		w.note("%s: %d orders, %d answers to orders sent once more, %d requests", r.id, len(r.orders), r.copies, len(r.arrivals))
		r.mu.Unlock()
	}
	w.note("%d streams asked for, %d whole, %d left by their clients", sent.Load(), served.Load(), left.Load())
	switch {
	case crashed != "":
		return []string{"LIMIT: " + crashed}, nil
	case w.trouble && runners[0].copied() == 0:
		return nil, fmt.Errorf("the runner had no occasion to repeat an answer; %d orders", orders)
	case served.Load() == 0:
		return nil, fmt.Errorf("nothing was served")
	}
	return nil, nil
}

// streamOnce asks a machine for a stream and reports whether it came whole. A client that leaves
// closes its connection after the second event.
func (w *world) streamOnce(ctx context.Context, v *vm, id string, adapter int, leaves bool) bool {
	return w.stream(ctx, v, id, fmt.Sprintf("%s/a%d", model, adapter), leaves) == http.StatusOK
}

// streamStatus asks a machine for a stream and returns its status, 0 if it did not come whole.
func (w *world) streamStatus(ctx context.Context, v *vm, id, adapter string) int {
	return w.stream(ctx, v, id, adapter, false)
}

func (w *world) stream(ctx context.Context, v *vm, id, adapter string, leaves bool) int {
	ctx, cancel := context.WithTimeout(ctx, 7*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.front()+"/quote/2f", http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "6000")
	req.Header.Set("X-Model", adapter)
	req.Header.Set("X-Token-Usage", "826,160")
	req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:198,%s:628", id))
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	w.note("client sends %s for %s to %s", id, adapter, v.name)
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		w.note("client gets no answer to %s", id)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	events := 0
	defer func() { w.note("client got %d and %d events for %s, leaves %t", resp.StatusCode, events, id, leaves) }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if len(lines.Text()) == 0 {
			if events++; leaves && events == 2 {
				return 0
			}
		}
	}
	if lines.Err() != nil {
		return 0
	}
	return resp.StatusCode
}
