//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cicadaslip/internal/standin/metastore"
)

func init() { cases["eras"] = playEras }

// playEras stops the owner of the group of model runners by plan and brings the store back from
// a copy that is some seconds old, in a drill. Two holders may not order under one fencing token.
func playEras(w *world) ([]string, error) {
	if err := w.startStore(); err != nil {
		return nil, err
	}
	firstEra := int64(0) // until the drill
	if text := os.Getenv("FIRST_ERA"); text != "" {
		var err error
		if firstEra, err = strconv.ParseInt(text, 10, 64); err != nil {
			return nil, err
		}
	}
	storeAt, err := w.startFrontStore(firstEra)
	if err != nil {
		return nil, err
	}
	if err := w.configure(7, 9); err != nil {
		return nil, err
	}
	runners, err := w.startEngines(false)
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		app := &runner{id: fmt.Sprintf("i-app%d", i), service: "counter-app", zone: zones[i], pause: 30 * time.Millisecond}
		if err := w.startRunner(app); err != nil {
			return nil, err
		}
	}
	if err := w.startAll(3, func(int) string { return storeAt }); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for i := range 30 {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(2, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				w.streamOnce(ctx, w.vms[(i+n)%len(w.vms)], fmt.Sprintf("q%d-%d", i, n), rng.IntN(200), rng.IntN(2) == 0)
				time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	first, record := w.owner()
	if first == nil {
		return nil, fmt.Errorf("no machine owns the group of model runners")
	}
	w.note("%s owns the group in epoch %d", first.name, record.Epoch)
	copied := w.store.Snapshot()
	w.note("the copy of the store is made")
	first.signal(syscall.SIGTERM)
	if err := first.waitEnd(grace); err != nil {
		return nil, err
	}
	second, record := w.owner()
	if second == nil || second == first {
		return nil, fmt.Errorf("no other machine has taken the group over")
	}
	w.note("%s owns the group in epoch %d", second.name, record.Epoch)
	if w.trouble {
		w.store.SetFault(metastore.Refuse)
		time.Sleep(300 * time.Millisecond)
		w.store.RestoreTo(copied)
		w.store.SetFault(metastore.None)
		w.note("the store is back from the copy")
	}
	if err := first.start(); err != nil {
		return nil, err
	}
	time.Sleep(15 * time.Second)
	cancel()
	clients.Wait()
	holders := map[int64]map[string]int{}
	var broken []string
	for _, r := range runners {
		r.mu.Lock()
		byToken := map[int64]map[string]int{}
		for _, o := range r.orders {
			if byToken[o.token] == nil {
				byToken[o.token] = map[string]int{}
			}
			byToken[o.token][o.holder]++
			if holders[o.token] == nil {
				holders[o.token] = map[string]int{}
			}
			holders[o.token][o.holder]++
		}
		r.mu.Unlock()
		w.note("%s: orders by fencing token and holder: %v", r.id, byToken)
		for token, by := range byToken {
			if len(by) > 1 {
				broken = append(broken, fmt.Sprintf("ONE: %s got orders of %d holders under the fencing token %d: %v", r.id, len(by), token, by))
			}
		}
	}
	w.note("all orders by fencing token and holder: %v", holders)
	return broken, nil
}
