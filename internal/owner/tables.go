package owner

import (
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// recentIDs remembers the last request ids up to a bound.
type recentIDs struct {
	order []model.RequestID
	next  int
	known map[model.RequestID]struct{}
}

func newRecentIDs(capacity int) *recentIDs {
	return &recentIDs{order: make([]model.RequestID, capacity), known: map[model.RequestID]struct{}{}}
}

func (r *recentIDs) add(id model.RequestID) {
	if r.has(id) {
		return
	}
	delete(r.known, r.order[r.next])
	r.order[r.next] = id
	r.known[id] = struct{}{}
	r.next = (r.next + 1) % len(r.order)
}

func (r *recentIDs) has(id model.RequestID) bool {
	_, ok := r.known[id]
	return ok
}

// residentSet is the group's resident adapters as told to other VMs. Its
// version changes with each change of the set.
type residentSet struct {
	version   uint64
	targets   map[string]map[model.AdapterVersion]struct{}
	instances map[string]string
}

func newResidentSet() *residentSet {
	return &residentSet{targets: map[string]map[model.AdapterVersion]struct{}{}, instances: map[string]string{}}
}

// state enters a target's statement and reports whether the target restarted.
func (s *residentSet) state(state core.TargetState) (restarted bool) {
	former := s.targets[state.Target]
	next := make(map[model.AdapterVersion]struct{}, len(state.Resident))
	changed := len(former) != len(state.Resident)
	for _, adapter := range state.Resident {
		next[adapter] = struct{}{}
		if _, ok := former[adapter]; !ok {
			changed = true
		}
	}
	s.targets[state.Target] = next
	if changed {
		s.version++
	}
	instance, known := s.instances[state.Target]
	s.instances[state.Target] = state.Instance
	return known && instance != state.Instance
}

// order enters the effect of an order that was carried out.
func (s *residentSet) order(intent core.Intent) {
	set := s.targets[intent.Target]
	if set == nil {
		set = map[model.AdapterVersion]struct{}{}
		s.targets[intent.Target] = set
	}
	if intent.Kind == core.IntentLoad {
		set[intent.Adapter] = struct{}{}
	} else {
		delete(set, intent.Adapter)
	}
	s.version++
}

// retain forgets targets that left the list.
func (s *residentSet) retain(targets map[string]model.Target) {
	for name := range s.targets {
		if _, ok := targets[name]; !ok {
			delete(s.targets, name)
			delete(s.instances, name)
			s.version++
		}
	}
}

func (s *residentSet) adapters() []model.AdapterVersion {
	seen := map[model.AdapterVersion]struct{}{}
	var all []model.AdapterVersion
	for _, set := range s.targets {
		for adapter := range set {
			if _, ok := seen[adapter]; !ok {
				seen[adapter] = struct{}{}
				all = append(all, adapter)
			}
		}
	}
	return all
}

// rateMeter is an exponentially decaying rate of grants.
type rateMeter struct {
	perSecond float64
	updated   time.Duration
}

// rateWindow is the time over which a grant counts.
const rateWindow = 2 * time.Second

func (m *rateMeter) decay(now time.Duration) {
	elapsed := (now - m.updated).Seconds() / rateWindow.Seconds()
	m.perSecond *= max(0, 1-elapsed)
	m.updated = now
}

func (m *rateMeter) add(now time.Duration) {
	m.decay(now)
	m.perSecond += 1 / rateWindow.Seconds()
}

// maximumWait bounds the estimate when nothing was granted lately.
const maximumWait = 30 * time.Second

// wait estimates how long a new request waits behind the given number.
func (m *rateMeter) wait(now time.Duration, waiting int) time.Duration {
	m.decay(now)
	if waiting == 0 {
		return 0
	}
	if m.perSecond <= 0 {
		return maximumWait
	}
	return min(maximumWait, time.Duration(float64(waiting)/m.perSecond*float64(time.Second)))
}
