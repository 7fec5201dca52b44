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

// intentWriter keeps the group's record in step with the core's intents. All
// intents that arrive while a write is in flight go into the next write.
type intentWriter struct {
	handle *group.Handle
	owner  *runtime

	mu      sync.Mutex
	intents map[uint64]core.Intent
	fresh   map[uint64]bool // not yet confirmed by the store
	dirty   bool            // intents to add
	stale   bool            // resolved intents to remove
	wake    chan struct{}
}

const (
	// clearPause delays writes that only remove resolved intents, so that they
	// usually share a write with the next intent.
	clearPause = 2 * time.Second
	// storeRetryPause is the mean pause between probes while the store is down.
	// It is jittered so that the owners do not return all at once.
	storeRetryPause = time.Second
)

func newIntentWriter(handle *group.Handle, owner *runtime) *intentWriter {
	w := &intentWriter{
		handle: handle, owner: owner, intents: map[uint64]core.Intent{}, fresh: map[uint64]bool{},
		wake: make(chan struct{}, 1),
	}
	for _, intent := range handle.Record().Intents {
		w.intents[intent.ID] = intent
	}
	return w
}

func (w *intentWriter) add(intent core.Intent) {
	w.mu.Lock()
	w.intents[intent.ID] = intent
	w.fresh[intent.ID] = true
	w.dirty = true
	w.mu.Unlock()
	w.signal()
}

func (w *intentWriter) remove(id uint64) {
	w.mu.Lock()
	delete(w.intents, id)
	w.stale = true
	w.mu.Unlock()
	time.AfterFunc(clearPause, w.signal)
}

func (w *intentWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

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

// flush writes until nothing is left to write. It returns false when the group
// is lost.
func (w *intentWriter) flush(ctx context.Context) bool {
	for ctx.Err() == nil {
		intents, fresh, needed := w.snapshot()
		if !needed {
			return true
		}
		err := w.handle.SetIntents(ctx, intents)
		switch {
		case err == nil:
			w.stored(fresh)
		case errs.Is(err, errs.StoreUnavailable):
			w.rejected(fresh)
			w.waitForStore(ctx)
		case ctx.Err() != nil:
			return false
		case errs.Is(err, errs.NotOwner):
			w.owner.lost()
			return false
		default:
			w.owner.log.Error().Err(err).Msg("group record could not be written")
			w.rejected(fresh)
			w.waitForStore(ctx)
		}
	}
	return false
}

func (w *intentWriter) snapshot() (intents []core.Intent, fresh []uint64, needed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.dirty && !w.stale {
		return nil, nil, false
	}
	for _, intent := range w.intents {
		intents = append(intents, intent)
	}
	sort.Slice(intents, func(i, j int) bool { return intents[i].ID < intents[j].ID })
	for id := range w.fresh {
		fresh = append(fresh, id)
	}
	sort.Slice(fresh, func(i, j int) bool { return fresh[i] < fresh[j] })
	w.fresh = map[uint64]bool{}
	w.dirty, w.stale = false, false
	return intents, fresh, true
}

func (w *intentWriter) stored(ids []uint64) {
	for _, id := range ids {
		w.owner.record(timeline.IntentStored, "", "")
		w.owner.post(core.IntentStored{ID: id})
	}
}

// rejected withdraws intents that were certainly not stored.
func (w *intentWriter) rejected(ids []uint64) {
	w.mu.Lock()
	for _, id := range ids {
		delete(w.intents, id)
	}
	w.mu.Unlock()
	for _, id := range ids {
		w.owner.post(core.IntentRejected{ID: id})
	}
}

// waitForStore stops placement until a write succeeds again.
func (w *intentWriter) waitForStore(ctx context.Context) {
	w.owner.post(core.StoreAvailability{Available: false})
	w.owner.record(timeline.StoreDown, "", "")
	for {
		pause := storeRetryPause/2 + rand.N(storeRetryPause)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		intents, fresh, _ := w.snapshot()
		err := w.handle.SetIntents(ctx, intents)
		if err == nil {
			w.stored(fresh)
			break
		}
		w.rejected(fresh)
		if errs.Is(err, errs.NotOwner) {
			w.mu.Lock()
			w.dirty = true // the next flush finds the new owner and steps down
			w.mu.Unlock()
			break
		}
	}
	w.owner.post(core.StoreAvailability{Available: true})
	w.owner.record(timeline.StoreUp, "", "")
}
