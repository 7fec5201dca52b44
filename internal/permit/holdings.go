package permit

import (
	"sync"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Holdings is the set of permits that this VM holds, with the minimum epoch that
// it accepts for each group.
type Holdings struct {
	mu            sync.Mutex
	minimumEpochs map[string]model.Epoch // by group
	held          map[model.RequestID]core.Permit
	epochRaised   map[string]map[model.Epoch]chan struct{} // by group and epoch; closed when the minimum exceeds the epoch
}

// NewHoldings returns holdings without permits.
func NewHoldings() *Holdings {
	return &Holdings{
		minimumEpochs: map[string]model.Epoch{},
		held:          map[model.RequestID]core.Permit{},
		epochRaised:   map[string]map[model.Epoch]chan struct{}{},
	}
}

// Accept adds a permit. It returns an error with errs.StaleEpoch if the permit is
// older than the minimum epoch of its group.
func (h *Holdings) Accept(permit core.Permit) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if permit.Epoch < h.minimumEpochs[permit.Group] {
		return errs.NotRun(errs.StaleEpoch, "permit was granted by a former owner of group "+permit.Group)
	}
	h.held[permit.Request] = permit
	return nil
}

// Remove removes the permit of a request that has ended.
func (h *Holdings) Remove(id model.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, id)
}

// ConfirmEpoch raises the minimum epoch of a group to the given one and returns
// the permits held for the group. It returns an error with errs.StaleEpoch if a
// newer epoch has been confirmed.
func (h *Holdings) ConfirmEpoch(group string, epoch model.Epoch) ([]core.Permit, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch < h.minimumEpochs[group] {
		return nil, errs.New(errs.StaleEpoch, "a newer epoch of group "+group+" has been confirmed")
	}
	h.raiseMinimum(group, epoch)
	var held []core.Permit
	for _, permit := range h.held {
		if permit.Group == group {
			held = append(held, permit)
		}
	}
	return held, nil
}

// raiseMinimum raises the minimum epoch of a group, if the given one is newer, and
// closes the channels that wait for it.
func (h *Holdings) raiseMinimum(group string, epoch model.Epoch) {
	if epoch <= h.minimumEpochs[group] {
		return
	}
	h.minimumEpochs[group] = epoch
	for above, signal := range h.epochRaised[group] {
		if epoch > above {
			close(signal)
			delete(h.epochRaised[group], above)
		}
	}
}

// MinimumEpoch returns the oldest epoch that is accepted for a group.
func (h *Holdings) MinimumEpoch(group string) model.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.minimumEpochs[group]
}

// EpochRaised returns a channel that is closed when the minimum epoch of the group
// exceeds the given one.
func (h *Holdings) EpochRaised(group string, above model.Epoch) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.minimumEpochs[group] > above {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if h.epochRaised[group] == nil {
		h.epochRaised[group] = map[model.Epoch]chan struct{}{}
	}
	if h.epochRaised[group][above] == nil {
		h.epochRaised[group][above] = make(chan struct{})
	}
	return h.epochRaised[group][above]
}

// Len returns the number of held permits.
func (h *Holdings) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}
