package placement

import "time"

// Need describes an adapter that waits for a load.
type Need struct {
	Waiting  int           // requests
	Worth    float64       // of the waiting requests
	Oldest   time.Duration // time that the first request has waited
	Slack    time.Duration // until the earliest answer is due
	Demand   float64       // decayed number of past requests
	Replica  bool          // resident elsewhere, where all capacity is taken
	Sequence uint64        // arrival of the first request
}

// Slot describes a resident adapter that could be evicted.
type Slot struct {
	UsedAt   time.Duration // last grant
	Demand   float64       // decayed number of past requests
	Worth    float64       // of one request, typical
	Waiting  int           // requests that wait for capacity
	Replicas int           // targets that have the adapter, at least one
}

// Policy orders loads and chooses the slot that a load takes over.
type Policy interface {
	// Score orders loads: the need with the highest score is loaded first.
	Score(n *Need) float64
	// Victim returns the index of the slot to give up, or -1.
	Victim(need *Need, slots []Slot) int
	// Replicates reports whether an adapter is loaded on a further target
	// while requests wait for the capacity of those that have it.
	Replicates(waiting int) bool
}

// LRU loads in order of arrival and evicts the least recently used adapter.
type LRU struct{}

// Score implements Policy.
func (LRU) Score(n *Need) float64 { return -float64(n.Sequence) }

// Replicates implements Policy.
func (LRU) Replicates(int) bool { return false }

// Victim implements Policy.
func (LRU) Victim(_ *Need, slots []Slot) int {
	victim := -1
	for i := range slots {
		if victim < 0 || slots[i].UsedAt < slots[victim].UsedAt {
			victim = i
		}
	}
	return victim
}

const (
	// margin is how much better the new use must be. Values close to each
	// other would exchange two adapters back and forth at one load each time.
	margin = 1.25
	// ageing is the wait that doubles the value of a need. With a shorter one,
	// loads for single requests displace adapters that are needed again.
	ageing = 8 * time.Second
	// replicaWaiting is the number of waiting requests that justify a replica.
	replicaWaiting = 4
	// replicaLoss is the part of a slot's value that is lost when the adapter
	// stays resident elsewhere.
	replicaLoss = 0.5
	// soon bounds the divisor for needs that are due immediately.
	soon = 100 * time.Millisecond
)

// Demand compares the worth of the waiting and expected requests.
type Demand struct{}

func value(n *Need) float64 {
	perRequest := n.Worth / float64(max(n.Waiting, 1))
	worth := n.Worth + n.Demand*perRequest
	if n.Replica {
		worth *= replicaLoss
	}
	waited := float64(n.Oldest) / float64(ageing)
	return worth * (1 + waited + waited*waited*waited)
}

// Score implements Policy. Needs with less time left go first when their
// values are alike.
func (Demand) Score(n *Need) float64 { return value(n) / max(n.Slack, soon).Seconds() }

// Replicates implements Policy.
func (Demand) Replicates(waiting int) bool { return waiting >= replicaWaiting }

func keep(s *Slot) float64 {
	worth := (s.Demand + float64(s.Waiting)) * s.Worth
	if s.Replicas > 1 {
		worth *= replicaLoss
	}
	return worth
}

// Overdue reports whether the first request has waited for longer than what is
// left of its time. Such a need is served before a more valuable use: demand for
// other adapters would otherwise keep it out until its deadline.
func (n *Need) Overdue() bool { return n.Waiting > 0 && n.Oldest > n.Slack }

// Victim implements Policy.
func (Demand) Victim(need *Need, slots []Slot) int {
	victim, lowest := -1, 0.0
	for i := range slots {
		k := keep(&slots[i])
		if victim < 0 || k < lowest || (k == lowest && slots[i].UsedAt < slots[victim].UsedAt) {
			victim, lowest = i, k
		}
	}
	if victim >= 0 && !need.Overdue() && value(need) < margin*lowest {
		return -1
	}
	return victim
}
