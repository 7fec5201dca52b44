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

// NewHost returns a host of a fixed number of shards, none of them wanted. The
// number must never change while claims are kept, because it decides which shard
// holds a key.
func NewHost(shards int, settings Settings, deps Dependencies) *Host {
	if deps.Counters == nil {
		deps.Counters = &Counters{}
	}
	h := &Host{counters: deps.Counters}
	for number := range max(shards, 1) {
		own := deps
		if deps.Rand != nil {
			own.Rand = rand.New(rand.NewPCG(deps.Rand.Uint64(), uint64(number)))
		} else {
			own.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		h.shards = append(h.shards, NewShard(number, settings, own))
	}
	return h
}

// Shards returns the number of shards.
func (h *Host) Shards() int { return len(h.shards) }

// Counters returns the counters of all shards.
func (h *Host) Counters() *Counters { return h.counters }

// SetWanted says for each shard whether this VM should own it.
func (h *Host) SetWanted(wanted func(shard int) bool) {
	for number, shard := range h.shards {
		shard.SetWanted(wanted(number))
	}
}

// SetRetention sets how long the claims of later batches are kept.
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

// Run drives all shards until ctx ends.
func (h *Host) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, shard := range h.shards {
		group.Go(func() { shard.Run(ctx) })
	}
	group.Wait()
}

// Drain hands all shards over: waiting calls are committed, then every shard is
// idle. Run must be active. Errors: errs.Timeout when ctx ends first; the calls
// that still wait then are refused as not run by their own deadlines.
func (h *Host) Drain(ctx context.Context) error {
	const pollInterval = 5 * time.Millisecond
	h.SetWanted(func(int) bool { return false })
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !h.idle() {
		select {
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Timeout, "journal shards are not handed over")
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
