package owner

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/group"
	"cicadaslip/internal/timeline"
)

// intentWriter writes the core's intents to the group's record in the store.
// Intents that arrive while a write is in flight are combined into the next
// write.
type intentWriter struct {
	handle  *group.Handle
	runtime *runtime

	mu           sync.Mutex
	intents      map[uint64]core.Intent
	unwritten    map[uint64]bool // added since the last snapshot
	hasAdditions bool            // there are intents to add
	hasRemovals  bool            // there are resolved intents to remove
	wake         chan struct{}
}

const (
	// removalDelay delays writes that only remove resolved intents, so that the
	// removal usually shares a write with the next intent.
	removalDelay = 2 * time.Second
	// storeRetryInterval is the mean interval between write attempts while the
	// store is down. It is jittered so that the owners do not all write at once
	// when the store is back.
	storeRetryInterval = time.Second
)

func newIntentWriter(handle *group.Handle, r *runtime) *intentWriter {
	w := &intentWriter{
		handle: handle, runtime: r, intents: map[uint64]core.Intent{}, unwritten: map[uint64]bool{},
		wake: make(chan struct{}, 1),
	}
	for _, intent := range handle.Record().Intents {
		w.intents[intent.ID] = intent
	}
	return w
}

// add schedules an intent for the next write.
func (w *intentWriter) add(intent core.Intent) {
	w.mu.Lock()
	w.intents[intent.ID] = intent
	w.unwritten[intent.ID] = true
	w.hasAdditions = true
	w.mu.Unlock()
	w.signal()
}

// remove schedules the removal of a resolved intent.
func (w *intentWriter) remove(id uint64) {
	w.mu.Lock()
	delete(w.intents, id)
	w.hasRemovals = true
	w.mu.Unlock()
	time.AfterFunc(removalDelay, w.signal)
}

// signal wakes up run.
func (w *intentWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes scheduled changes until ctx ends or the group is lost.
func (w *intentWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		if !w.flush(ctx) {
			return
		}
	}
}

// flush writes until no changes are left. It returns false if the group is lost
// or ctx has ended.
func (w *intentWriter) flush(ctx context.Context) bool {
	for ctx.Err() == nil {
		intents, added, needed := w.snapshot()
		if !needed {
			return true
		}
		err := w.handle.SetIntents(ctx, intents)
		switch {
		case err == nil:
			w.reportStored(added)
		case errs.Is(err, errs.StoreUnavailable):
			w.withdraw(added)
			w.waitForStore(ctx)
		case ctx.Err() != nil:
			return false
		case errs.Is(err, errs.NotOwner):
			w.runtime.handleLoss()
			return false
		default:
			w.runtime.log.Error().Err(err).Msg("could not write group record; retrying")
			w.withdraw(added)
			w.waitForStore(ctx)
		}
	}
	return false
}

// snapshot returns all intents to write, the ids of those that the write adds,
// and whether a write is needed. It marks the changes as written.
func (w *intentWriter) snapshot() (intents []core.Intent, added []uint64, needed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasAdditions && !w.hasRemovals {
		return nil, nil, false
	}
	for _, intent := range w.intents {
		intents = append(intents, intent)
	}
	sort.Slice(intents, func(i, j int) bool { return intents[i].ID < intents[j].ID })
	for id := range w.unwritten {
		added = append(added, id)
	}
	sort.Slice(added, func(i, j int) bool { return added[i] < added[j] })
	w.unwritten = map[uint64]bool{}
	w.hasAdditions, w.hasRemovals = false, false
	return intents, added, true
}

// reportStored reports to the core that the store has confirmed the intents.
func (w *intentWriter) reportStored(ids []uint64) {
	for _, id := range ids {
		w.runtime.recordEvent(timeline.IntentStored, "", "")
		w.runtime.post(core.IntentStored{ID: id})
	}
}

// withdraw removes intents that are certainly not stored and reports this to the
// core.
func (w *intentWriter) withdraw(ids []uint64) {
	w.mu.Lock()
	for _, id := range ids {
		delete(w.intents, id)
	}
	w.mu.Unlock()
	for _, id := range ids {
		w.runtime.post(core.IntentRejected{ID: id})
	}
}

// waitForStore reports the store as unavailable to the core, which stops
// placement, and retries the write until it succeeds or shows another owner.
func (w *intentWriter) waitForStore(ctx context.Context) {
	w.runtime.post(core.StoreAvailability{Available: false})
	w.runtime.recordEvent(timeline.StoreDown, "", "")
	for {
		delay := storeRetryInterval/2 + rand.N(storeRetryInterval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		intents, added, _ := w.snapshot()
		err := w.handle.SetIntents(ctx, intents)
		if err == nil {
			w.reportStored(added)
			break
		}
		w.withdraw(added)
		if errs.Is(err, errs.NotOwner) {
			w.mu.Lock()
			w.hasAdditions = true // the next flush detects the new owner and steps down
			w.mu.Unlock()
			break
		}
	}
	w.runtime.post(core.StoreAvailability{Available: true})
	w.runtime.recordEvent(timeline.StoreUp, "", "")
}
