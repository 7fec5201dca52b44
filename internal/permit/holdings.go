package permit

import (
	"sync"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Holdings is the table of the permits that this VM holds, and of the oldest
// epoch that it accepts for each group.
type Holdings struct {
	mu      sync.Mutex
	minimum map[string]model.Epoch
	held    map[model.RequestID]core.Permit
	raised  map[string]map[model.Epoch]chan struct{} // closed when the group's epoch is above the key
}

// NewHoldings returns an empty table.
func NewHoldings() *Holdings {
	return &Holdings{
		minimum: map[string]model.Epoch{},
		held:    map[model.RequestID]core.Permit{},
		raised:  map[string]map[model.Epoch]chan struct{}{},
	}
}

// Accept enters a permit, or refuses it as stale.
func (h *Holdings) Accept(permit core.Permit) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if permit.Epoch < h.minimum[permit.Group] {
		return errs.NotRun(errs.StaleEpoch, "permit of a former owner of "+permit.Group)
	}
	h.held[permit.Request] = permit
	return nil
}

// Drop removes a permit whose work has ended.
func (h *Holdings) Drop(id model.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, id)
}

// Confirm refuses epochs before the given one from now on and returns the
// permits held for the group. It fails when a newer epoch was confirmed.
func (h *Holdings) Confirm(group string, epoch model.Epoch) ([]core.Permit, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch < h.minimum[group] {
		return nil, errs.New(errs.StaleEpoch, "a newer epoch of "+group+" was confirmed")
	}
	h.raise(group, epoch)
	var held []core.Permit
	for _, permit := range h.held {
		if permit.Group == group {
			held = append(held, permit)
		}
	}
	return held, nil
}

func (h *Holdings) raise(group string, epoch model.Epoch) {
	if epoch <= h.minimum[group] {
		return
	}
	h.minimum[group] = epoch
	for above, raised := range h.raised[group] {
		if epoch > above {
			close(raised)
			delete(h.raised[group], above)
		}
	}
}

// Minimum returns the oldest accepted epoch of a group.
func (h *Holdings) Minimum(group string) model.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.minimum[group]
}

// Raised returns a channel that is closed when the group's epoch rises above
// the given one.
func (h *Holdings) Raised(group string, above model.Epoch) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.minimum[group] > above {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if h.raised[group] == nil {
		h.raised[group] = map[model.Epoch]chan struct{}{}
	}
	if h.raised[group][above] == nil {
		h.raised[group][above] = make(chan struct{})
	}
	return h.raised[group][above]
}

// Len returns the number of permits held.
func (h *Holdings) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}
