package placement

import "time"

// PendingLoad describes an adapter that waits to be loaded.
type PendingLoad struct {
	Waiting    int           // number of waiting requests
	Worth      float64       // total worth of the waiting requests
	OldestWait time.Duration // how long the first request has waited
	Slack      time.Duration // time until the earliest answer is due
	Demand     float64       // decayed number of past requests
	Replica    bool          // whether the adapter is resident on other targets, whose capacity is used up
	Sequence   uint64        // arrival number of the first request
}

// Slot describes a resident adapter that could be evicted.
type Slot struct {
	LastUsed time.Duration // time of the last grant
	Demand   float64       // decayed number of past requests
	Worth    float64       // typical worth of one request
	Waiting  int           // number of requests that wait for capacity
	Replicas int           // number of targets that have the adapter, at least one
}

// Policy orders pending loads and chooses the slot in which an adapter is loaded.
type Policy interface {
	// Score returns the rank of a pending load; the highest score is loaded first.
	Score(p *PendingLoad) float64
	// Victim returns the index of the slot to evict for a pending load, or -1 if no
	// slot should be evicted.
	Victim(pending *PendingLoad, slots []Slot) int
	// AllowsReplica reports whether an adapter may be loaded on another target, given
	// the number of requests that wait for capacity on the targets that have it.
	AllowsReplica(waiting int) bool
}

// LRU loads adapters in order of arrival and evicts the least recently used one.
type LRU struct{}

// Score implements Policy.
func (LRU) Score(p *PendingLoad) float64 { return -float64(p.Sequence) }

// AllowsReplica implements Policy.
func (LRU) AllowsReplica(int) bool { return false }

// Victim implements Policy.
func (LRU) Victim(_ *PendingLoad, slots []Slot) int {
	victim := -1
	for i := range slots {
		if victim < 0 || slots[i].LastUsed < slots[victim].LastUsed {
			victim = i
		}
	}
	return victim
}

const (
	// evictionMargin is the minimum ratio of a pending load's value to the value of
	// the evicted slot. Without it, two adapters of similar value would evict each
	// other in turn, at the cost of one load each time.
	evictionMargin = 1.25
	// ageingTime is the wait at which a pending load has three times its initial value.
	// With a shorter time, loads for single requests displace adapters that are needed
	// again.
	ageingTime = 8 * time.Second
	// minWaitingForReplica is the number of waiting requests that justify a replica.
	minWaitingForReplica = 4
	// replicaFactor reduces the value of an adapter that is resident on another target
	// as well.
	replicaFactor = 0.5
	// minSlack is the lower bound of the slack by which Score divides, for loads whose
	// requests are due at once.
	minSlack = 100 * time.Millisecond
)

// Demand compares the worth of the waiting and expected requests of the adapters.
type Demand struct{}

// loadValue returns the value of a pending load: the worth of its waiting and expected
// requests, which grows with the wait.
func loadValue(p *PendingLoad) float64 {
	perRequest := p.Worth / float64(max(p.Waiting, 1))
	worth := p.Worth + p.Demand*perRequest
	if p.Replica {
		worth *= replicaFactor
	}
	ageing := float64(p.OldestWait) / float64(ageingTime)
	return worth * (1 + ageing + ageing*ageing*ageing)
}

// Score implements Policy. Of two loads of equal value, the one with less slack has
// the higher score.
func (Demand) Score(p *PendingLoad) float64 { return loadValue(p) / max(p.Slack, minSlack).Seconds() }

// AllowsReplica implements Policy.
func (Demand) AllowsReplica(waiting int) bool { return waiting >= minWaitingForReplica }

// slotValue returns the value of keeping an adapter in its slot.
func slotValue(s *Slot) float64 {
	worth := (s.Demand + float64(s.Waiting)) * s.Worth
	if s.Replicas > 1 {
		worth *= replicaFactor
	}
	return worth
}

// Overdue reports whether the first request has waited for longer than the slack that
// is left. An overdue load may evict an adapter of any value; otherwise the demand for
// other adapters would keep it from being loaded until its deadline.
func (p *PendingLoad) Overdue() bool { return p.Waiting > 0 && p.OldestWait > p.Slack }

// Victim implements Policy.
func (Demand) Victim(pending *PendingLoad, slots []Slot) int {
	victim, lowest := -1, 0.0
	for i := range slots {
		value := slotValue(&slots[i])
		if victim < 0 || value < lowest || (value == lowest && slots[i].LastUsed < slots[victim].LastUsed) {
			victim, lowest = i, value
		}
	}
	if victim >= 0 && !pending.Overdue() && loadValue(pending) < evictionMargin*lowest {
		return -1
	}
	return victim
}
