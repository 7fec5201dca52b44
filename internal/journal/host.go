package journal

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
)

// Host runs the shards of one VM.
type Host struct {
	shards   []*Shard
	counters *Counters
}

// NewHost returns a host of a fixed number of shards, none of which is assigned
// to this VM yet. The number must not change while claims are stored, because it
// determines the shard of each key.
func NewHost(shards int, settings Settings, deps Dependencies) *Host {
	if deps.Counters == nil {
		deps.Counters = &Counters{}
	}
	h := &Host{counters: deps.Counters}
	for number := range max(shards, 1) {
		shardDeps := deps
		if deps.Rand != nil {
			shardDeps.Rand = rand.New(rand.NewPCG(deps.Rand.Uint64(), uint64(number)))
		} else {
			shardDeps.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		h.shards = append(h.shards, NewShard(number, settings, shardDeps))
	}
	return h
}

// Shards returns the number of all shards, whether or not this VM owns them.
func (h *Host) Shards() int { return len(h.shards) }

// Counters returns the counters of all shards.
func (h *Host) Counters() *Counters { return h.counters }

// SetAssigned sets for each shard whether this VM should own it.
func (h *Host) SetAssigned(assigned func(shard int) bool) {
	for number, shard := range h.shards {
		shard.SetAssigned(assigned(number))
	}
}

// SetRetention sets the retention of the entries of later batches, in all shards.
func (h *Host) SetRetention(retention time.Duration) {
	for _, shard := range h.shards {
		shard.SetRetention(retention)
	}
}

// Owned returns the numbers of the shards that this VM owns.
func (h *Host) Owned() []int {
	var owned []int
	for number, shard := range h.shards {
		if shard.Owned() {
			owned = append(owned, number)
		}
	}
	return owned
}

// Run runs all shards until ctx ends.
func (h *Host) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, shard := range h.shards {
		group.Go(func() { shard.Run(ctx) })
	}
	group.Wait()
}

// Drain gives up all shards: it waits until their queued calls are committed and
// every shard is idle. Run must be active. Errors: errs.Timeout when ctx ends
// first; calls that still wait then are refused as not run at their own
// deadlines.
func (h *Host) Drain(ctx context.Context) error {
	const pollInterval = 5 * time.Millisecond
	h.SetAssigned(func(int) bool { return false })
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !h.idle() {
		select {
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Timeout, "journal shards were not handed over in time")
		case <-ticker.C:
		}
	}
	return nil
}

func (h *Host) idle() bool {
	for _, shard := range h.shards {
		if !shard.Idle() {
			return false
		}
	}
	return true
}

func (h *Host) shardOf(key rpcapi.ClaimKey) *Shard {
	return h.shards[ShardOf(key, len(h.shards))]
}
