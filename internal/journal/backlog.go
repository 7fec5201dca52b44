package journal

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/rpcapi"
)

// Bounds of the backlog. A new entry that does not fit is dropped and counted.
// This is safe: the key stays claimed until its holder is gone.
const (
	maxBacklogEntries    = 8192
	maxBacklogBytes      = 8 << 20
	backlogRetryInterval = 500 * time.Millisecond
)

// backlog holds outcomes and releases that could not be stored yet.
type backlog struct {
	counters *Counters
	mu       sync.Mutex
	entries  []backlogEntry
	bytes    int
}

type backlogEntry struct {
	key     rpcapi.ClaimKey
	request any // *rpcapi.OutcomeRequest or *rpcapi.ReleaseClaimRequest
	size    int // estimated bytes
}

func newBacklog(counters *Counters) *backlog { return &backlog{counters: counters} }

func (b *backlog) add(key rpcapi.ClaimKey, request any, bodyBytes int) {
	const entryOverhead = 256
	size := entryOverhead + len(key.Key) + bodyBytes
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entries) >= maxBacklogEntries || b.bytes+size > maxBacklogBytes {
		b.counters.BacklogLost.Add(1)
		return
	}
	b.entries = append(b.entries, backlogEntry{key: key, request: request, size: size})
	b.bytes += size
	b.counters.Backlog.Store(int64(len(b.entries)))
}

// takeAll removes and returns all entries.
func (b *backlog) takeAll() []backlogEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := b.entries
	b.entries, b.bytes = nil, 0
	return entries
}

// putBack puts entries that still could not be stored in front of those added
// since.
func (b *backlog) putBack(entries []backlogEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = append(entries, b.entries...)
	b.bytes = 0
	for _, entry := range b.entries {
		b.bytes += entry.size
	}
	b.counters.Backlog.Store(int64(len(b.entries)))
}

// Run sends the entries of the backlog again, every one to two times
// backlogRetryInterval, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for sleepWithJitter(ctx, 2*backlogRetryInterval) {
		c.FlushBacklog(ctx)
	}
}

// FlushBacklog makes one attempt to store each outcome and release of the
// backlog, and returns how many remain. The attempts run concurrently, so that
// they share the owners' batches.
func (c *Client) FlushBacklog(ctx context.Context) int {
	entries := c.backlog.takeAll()
	failed := make([]bool, len(entries))
	parallel(len(entries), func(i int) {
		_, _, err := c.callOnce(ctx, ShardOf(entries[i].key, c.shards), entries[i].request)
		failed[i] = err != nil && !isPermanent(err)
	})
	var rest []backlogEntry
	for i, entry := range entries {
		if failed[i] {
			rest = append(rest, entry)
		}
	}
	c.backlog.putBack(rest)
	return len(rest)
}

// parallel calls do(0) to do(n-1) from a bounded number of goroutines and waits
// until all have returned.
func parallel(n int, do func(i int)) {
	const workers = 64
	var group sync.WaitGroup
	for worker := range min(workers, n) {
		group.Go(func() {
			for i := worker; i < n; i += workers {
				do(i)
			}
		})
	}
	group.Wait()
}
