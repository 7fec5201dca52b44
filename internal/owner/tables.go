package owner

import (
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// recentIDs is a set of the most recently added request ids. When it is full, a
// new id replaces the oldest one.
type recentIDs struct {
	ring []model.RequestID
	next int
	ids  map[model.RequestID]struct{}
}

func newRecentIDs(capacity int) *recentIDs {
	return &recentIDs{ring: make([]model.RequestID, capacity), ids: map[model.RequestID]struct{}{}}
}

func (r *recentIDs) add(id model.RequestID) {
	if r.contains(id) {
		return
	}
	delete(r.ids, r.ring[r.next])
	r.ring[r.next] = id
	r.ids[id] = struct{}{}
	r.next = (r.next + 1) % len(r.ring)
}

func (r *recentIDs) contains(id model.RequestID) bool {
	_, ok := r.ids[id]
	return ok
}

// residentSet holds the resident adapters of the group's targets, which other
// VMs fetch for routing. Its version increases with each change of the set.
type residentSet struct {
	version          uint64
	adaptersByTarget map[string]map[model.AdapterVersion]struct{}
	instanceByTarget map[string]string // changes when the target restarts
}

func newResidentSet() *residentSet {
	return &residentSet{adaptersByTarget: map[string]map[model.AdapterVersion]struct{}{}, instanceByTarget: map[string]string{}}
}

// applyState replaces a target's adapters by those that the target reported. It
// returns true if the target has restarted since its last report.
func (s *residentSet) applyState(state core.TargetState) (restarted bool) {
	previous := s.adaptersByTarget[state.Target]
	next := make(map[model.AdapterVersion]struct{}, len(state.Resident))
	changed := len(previous) != len(state.Resident)
	for _, adapter := range state.Resident {
		next[adapter] = struct{}{}
		if _, ok := previous[adapter]; !ok {
			changed = true
		}
	}
	s.adaptersByTarget[state.Target] = next
	if changed {
		s.version++
	}
	instance, seen := s.instanceByTarget[state.Target]
	s.instanceByTarget[state.Target] = state.Instance
	return seen && instance != state.Instance
}

// applyOrder applies the effect of a completed load or evict order.
func (s *residentSet) applyOrder(intent core.Intent) {
	set := s.adaptersByTarget[intent.Target]
	if set == nil {
		set = map[model.AdapterVersion]struct{}{}
		s.adaptersByTarget[intent.Target] = set
	}
	if intent.Kind == core.IntentLoad {
		set[intent.Adapter] = struct{}{}
	} else {
		delete(set, intent.Adapter)
	}
	s.version++
}

// retainTargets removes the targets that are not in the given list.
func (s *residentSet) retainTargets(targets map[string]model.Target) {
	for name := range s.adaptersByTarget {
		if _, ok := targets[name]; !ok {
			delete(s.adaptersByTarget, name)
			delete(s.instanceByTarget, name)
			s.version++
		}
	}
}

// adapters returns the adapters that are resident on at least one target.
func (s *residentSet) adapters() []model.AdapterVersion {
	seen := map[model.AdapterVersion]struct{}{}
	var all []model.AdapterVersion
	for _, set := range s.adaptersByTarget {
		for adapter := range set {
			if _, ok := seen[adapter]; !ok {
				seen[adapter] = struct{}{}
				all = append(all, adapter)
			}
		}
	}
	return all
}

// rateMeter estimates the rate of replies to waiting requests. The estimate
// decays by the part of rateWindow that has elapsed since the last update.
type rateMeter struct {
	perSecond float64
	updatedAt time.Duration
}

// rateWindow is the time over which the rate is averaged. After a window without
// replies the rate is zero.
const rateWindow = 2 * time.Second

func (m *rateMeter) decay(now time.Duration) {
	elapsed := (now - m.updatedAt).Seconds() / rateWindow.Seconds()
	m.perSecond *= max(0, 1-elapsed)
	m.updatedAt = now
}

// count adds one reply to the rate.
func (m *rateMeter) count(now time.Duration) {
	m.decay(now)
	m.perSecond += 1 / rateWindow.Seconds()
}

// maxEstimatedWait limits the estimate, which would be infinite while there are
// no replies.
const maxEstimatedWait = 30 * time.Second

// estimateWait estimates how long a new request waits behind the given number of
// waiting requests.
func (m *rateMeter) estimateWait(now time.Duration, waiting int) time.Duration {
	m.decay(now)
	if waiting == 0 {
		return 0
	}
	if m.perSecond <= 0 {
		return maxEstimatedWait
	}
	return min(maxEstimatedWait, time.Duration(float64(waiting)/m.perSecond*float64(time.Second)))
}
