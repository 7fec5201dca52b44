//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["weights"] = playWeights }

const (
	weightsMB       = 75_000.0 // of a runner, for models and adapters
	modelMB         = 37_300.0
	adapterMB       = 66.0
	usualAdapters   = 2 // of each model that are asked for as usual
	rareAdapters    = 40
	weightsTime     = 40 * time.Second
	weightsDemandAt = 8 * time.Second // when rare adapters are asked for
)

var twoModels = []string{"base", "second"}

// playWeights lets the runners hold two models each, as the platform has placed them, and rare
// adapters be asked for at once. No runner may be ordered to load more than weights_mb hold.
func playWeights(w *world) ([]string, error) {
	if err := w.startStore(); err != nil {
		return nil, err
	}
	models := []any{}
	for _, name := range twoModels {
		models = append(models, map[string]any{"name": name, "weights_mb": modelMB, "load_time_s": 2.1, "adapters": 3000, "adapter_mb": adapterMB})
	}
	if err := w.configureEngine(7, map[string]any{
		"slots": 64, "kv_capacity_tokens": 242627, "stride": 4, "weights_mb": weightsMB, "adapter_slots": copiesPlaces, "loads_per_s": 2.1, "models": models,
	}); err != nil {
		return nil, err
	}
	var runners []*runner
	for i := range 3 {
		r := &runner{
			id: fmt.Sprintf("i-llm%d", i), service: "assistant-llm", zone: zones[i], engine: true, events: 13, pause: 40 * time.Millisecond,
			loadTime: 250 * time.Millisecond, places: copiesPlaces, models: twoModels, roomMB: weightsMB - modelMB*float64(len(twoModels)), adapterMB: adapterMB,
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
	ctx, cancel := context.WithTimeout(context.Background(), weightsTime)
	defer cancel()
	began := time.Now()
	var clients sync.WaitGroup
	var sent, served atomic.Int64
	for i := range 12 {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(3, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				adapters := usualAdapters
				if w.trouble && time.Since(began) > weightsDemandAt {
					adapters = rareAdapters
				}
				name := fmt.Sprintf("%s/a%d", twoModels[rng.IntN(len(twoModels))], rng.IntN(adapters))
				sent.Add(1)
				if status := w.streamStatus(ctx, w.vms[(i+n)%len(w.vms)], fmt.Sprintf("q%d-%d", i, n), name); status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
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
	w.note("%d streams asked for, %d served", sent.Load(), served.Load())
	switch {
	case crashed != "":
		return []string{"LIMIT: " + crashed}, nil
	case served.Load() == 0:
		return nil, fmt.Errorf("nothing was served")
	}
	return nil, nil
}
