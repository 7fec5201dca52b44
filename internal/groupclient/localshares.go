package groupclient

import (
	"time"

	"cicadaslip/internal/placer"
)

const (
	// localSharePlaces is the number of this VM's places at one target (maxLocalPerTarget)
	// that the requests of one organisation may take while other organisations send requests.
	localSharePlaces = maxLocalPerTarget / 2
	// localShareMemory is the time for which an organisation counts as sending requests.
	localShareMemory = 2 * time.Second
)

// localShares divides the places of requests without an owner's grant between organisations.
// The zero value is ready for use. It remains empty until a request names an organisation.
type localShares struct {
	priorities placer.EnginePriorities
	lastSeen   map[string]time.Duration // of requests without an owner, by organisation
	held       map[string]localHold     // by request ID
}

// localHold is the place of a request at a target.
type localHold struct{ target, organisation string }

// observe records a request that is to be placed without an owner.
func (s *localShares) observe(now time.Duration, organisation string) {
	if organisation == "" {
		return
	}
	if s.lastSeen == nil {
		s.lastSeen, s.held = map[string]time.Duration{}, map[string]localHold{}
	}
	s.lastSeen[organisation] = now
}

// exceeds reports whether an organisation has its share of the places at a target. A single
// organisation may use all places.
func (s *localShares) exceeds(now time.Duration, target, organisation string) bool {
	if organisation == "" {
		return false
	}
	held := 0
	for _, h := range s.held {
		if h.target == target && h.organisation == organisation {
			held++
		}
	}
	if held < localSharePlaces {
		return false
	}
	for other, at := range s.lastSeen {
		if other != organisation && now-at < localShareMemory {
			return true
		}
	}
	return false
}

func (s *localShares) add(r *placer.Request, target string) {
	if r.Organisation != "" {
		s.held[r.ID] = localHold{target, r.Organisation}
	}
}

func (s *localShares) remove(request string) { delete(s.held, request) }

// enginePriority returns the engine priority of a request. Without an organisation it is the
// priority of the route.
func (s *localShares) enginePriority(now time.Duration, r *placer.Request) int {
	if r.Organisation == "" {
		return r.Priority
	}
	return s.priorities.Of(now, r, r.Objective <= 0)
}
