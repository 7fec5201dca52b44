package journal

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/rpcapi"
)

// Bounds of the backlog. When it is full the new entry is dropped and counted:
// its key then stays claimed until the holder is gone, which is safe.
const (
	backlogEntries  = 8192
	backlogBytes    = 8 << 20
	backlogInterval = 500 * time.Millisecond
)

// backlog keeps outcomes and releases that could not be stored.
type backlog struct {
	counters *Counters
	mu       sync.Mutex
	entries  []backlogEntry
	bytes    int
}

type backlogEntry struct {
	key     rpcapi.ClaimKey
	request any
	size    int
}

func newBacklog(counters *Counters) *backlog { return &backlog{counters: counters} }

func (b *backlog) add(key rpcapi.ClaimKey, request any, bodyBytes int) {
	const entryOverhead = 256
	size := entryOverhead + len(key.Key) + bodyBytes
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entries) >= backlogEntries || b.bytes+size > backlogBytes {
		b.counters.BacklogLost.Add(1)
		return
	}
	b.entries = append(b.entries, backlogEntry{key: key, request: request, size: size})
	b.bytes += size
	b.counters.Backlog.Store(int64(len(b.entries)))
}

// take removes and returns all entries.
func (b *backlog) take() []backlogEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := b.entries
	b.entries, b.bytes = nil, 0
	return entries
}

// putBack returns entries that still could not be stored.
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

// Run sends the backlog again until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for sleep(ctx, 2*backlogInterval) {
		c.FlushBacklog(ctx)
	}
}

// FlushBacklog makes one attempt for each outcome and release that could not be
// stored so far, and returns how many remain. Attempts run side by side, so that
// they share the owner's batches.
func (c *Client) FlushBacklog(ctx context.Context) int {
	entries := c.backlog.take()
	failed := make([]bool, len(entries))
	parallel(len(entries), func(i int) {
		_, _, err := c.once(ctx, ShardOf(entries[i].key, c.shards), entries[i].request)
		failed[i] = err != nil && !final(err)
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

// parallel calls do for 0 to n-1 from a bounded number of goroutines.
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
