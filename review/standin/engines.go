//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// startEngines starts the model runners.
func (w *world) startEngines(keepsRuns bool) ([]*runner, error) {
	var runners []*runner
	for i := range 3 {
		r := &runner{
			id: fmt.Sprintf("i-llm%d", i), service: "assistant-llm", zone: zones[i], engine: true, events: 73, pause: 50 * time.Millisecond,
			loadTime: 250 * time.Millisecond, places: 9, keepsRuns: keepsRuns,
		}
		if err := w.startRunner(r); err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	return runners, nil
}

// groupRecord is what the system keeps of a group in the store.
type groupRecord struct {
	Owner string `json:"owner"`
	Epoch int64  `json:"epoch"`
}

// owner returns the machine that grants requests to the model runners.
func (w *world) owner() (*vm, groupRecord) {
	var r groupRecord
	_ = json.Unmarshal(w.store.Spec("groups", "assistant-llm.0"), &r)
	for _, v := range w.vms {
		if v.name == r.Owner {
			return v, r
		}
	}
	return nil, r
}
