package edge

import (
	"slices"
	"strings"
	"sync"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// feed numbers the changes of what a VM knows of the deployment, so that other VMs
// can follow it instead of the store. Only what they need counts as a change: the
// adapters that a target says it holds change all the time.
type feed struct {
	source uint64 // incarnation of the VM

	mu      sync.Mutex
	counter uint64
	config  feedConfig
	targets map[string]feedTarget
	version map[placer.Adapter]feedVersion
}

type (
	feedConfig struct {
		changed uint64
		value   []byte
	}
	feedTarget struct {
		changed uint64
		target  fleet.Target
		gone    bool
	}
	feedVersion struct {
		changed uint64
		version int64
	}
)

func newFeed(source uint64) *feed {
	return &feed{source: source, targets: map[string]feedTarget{}, version: map[placer.Adapter]feedVersion{}}
}

func (f *feed) setConfig(value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counter++
	f.config = feedConfig{changed: f.counter, value: value}
}

func (f *feed) setVersion(a placer.Adapter, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version[a].version < version {
		f.counter++
		f.version[a] = feedVersion{changed: f.counter, version: version}
	}
}

// setTargets enters the present targets.
func (f *feed) setTargets(targets []fleet.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.ID] = true
		known, found := f.targets[t.ID]
		if !found || known.gone || !sameTarget(&known.target, &t) {
			f.counter++
			f.targets[t.ID] = feedTarget{changed: f.counter, target: t}
		}
	}
	for id, row := range f.targets {
		if !present[id] && !row.gone {
			f.counter++
			f.targets[id] = feedTarget{changed: f.counter, target: row.target, gone: true}
		}
	}
}

// sameTarget compares what other VMs need to know.
func sameTarget(a, b *fleet.Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		a.Born == b.Born && a.Leaving == b.Leaving
}

// since returns what has changed after a counter of this feed, or all for a caller
// that followed another one.
func (f *feed) since(source, counter uint64) grouprpc.News {
	f.mu.Lock()
	defer f.mu.Unlock()
	full := source != f.source || counter > f.counter
	if full {
		counter = 0
	}
	news := grouprpc.News{Source: f.source, Counter: f.counter, Full: full}
	if f.config.changed > counter {
		news.Config = f.config.value
	}
	for id, row := range f.targets {
		switch {
		case row.changed <= counter:
		case row.gone && !full:
			news.Gone = append(news.Gone, id)
		case !row.gone:
			t := row.target
			t.Models, t.OnDisk = nil, nil
			news.Targets = append(news.Targets, t)
		}
	}
	slices.SortFunc(news.Targets, func(a, b fleet.Target) int { return strings.Compare(a.ID, b.ID) })
	for a, row := range f.version {
		if row.changed > counter {
			news.Versions = append(news.Versions, grouprpc.AdapterVersion{Adapter: a, Version: row.version})
		}
	}
	return news
}
