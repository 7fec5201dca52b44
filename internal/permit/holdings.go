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
	held    map[model.RequestID]holding
	raised  map[string]chan struct{} // closed when the group's epoch rises
}

// holding is a held permit with what the account needs to know of its request.
type holding struct {
	permit       core.Permit
	organisation string
	kind         string
}

// NewHoldings returns an empty table.
func NewHoldings() *Holdings {
	return &Holdings{
		minimum: map[string]model.Epoch{},
		held:    map[model.RequestID]holding{},
		raised:  map[string]chan struct{}{},
	}
}

// Accept enters the permit of a request, or refuses it as stale.
func (h *Holdings) Accept(permit core.Permit, request core.Request) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if permit.Epoch < h.minimum[permit.Group] {
		return errs.NotRun(errs.StaleEpoch, "permit of a former owner of "+permit.Group)
	}
	h.held[permit.Request] = holding{permit: permit, organisation: request.Organisation, kind: request.Kind}
	return nil
}

// get returns what is held under a request id.
func (h *Holdings) get(id model.RequestID) holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held[id]
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
	for _, item := range h.held {
		if item.permit.Group == group {
			held = append(held, item.permit)
		}
	}
	return held, nil
}

func (h *Holdings) raise(group string, epoch model.Epoch) {
	if epoch <= h.minimum[group] {
		return
	}
	h.minimum[group] = epoch
	if raised, ok := h.raised[group]; ok {
		close(raised)
		delete(h.raised, group)
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
		h.raised[group] = make(chan struct{})
	}
	return h.raised[group]
}

// Len returns the number of permits held.
func (h *Holdings) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}
