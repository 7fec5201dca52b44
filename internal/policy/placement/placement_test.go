package placement_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/placement"
)

// Guards against adapters of similar value that evict each other in turn, which costs
// a load each time, and against a pending load that waits forever.
func TestDemandEvictsOnlyForAMoreValuableLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	slots := []placement.Slot{
		{Demand: 10, Worth: 1, Replicas: 1},
		{Demand: 4, Worth: 1, Replicas: 1},
		{Demand: 6, Worth: 1, Replicas: 2},
	}
	pending := &placement.PendingLoad{Waiting: 1, Worth: 1}
	g.Expect(placement.Demand{}.Victim(pending, slots)).To(gomega.Equal(-1))
	pending.OldestWait = 24 * time.Second
	g.Expect(placement.Demand{}.Victim(pending, slots)).To(gomega.Equal(2)) // also resident on another target
	g.Expect(placement.LRU{}.Victim(pending, nil)).To(gomega.Equal(-1))
}

// Guards against an order of loads that ignores how soon the waiting requests are due.
func TestDemandPrefersLoadsThatAreDueSooner(t *testing.T) {
	g := gomega.NewWithT(t)
	dueLater := &placement.PendingLoad{Waiting: 1, Worth: 1, Slack: 10 * time.Second}
	dueSooner := &placement.PendingLoad{Waiting: 1, Worth: 1, Slack: time.Second, Sequence: 1}
	g.Expect(placement.Demand{}.Score(dueSooner)).To(gomega.BeNumerically(">", placement.Demand{}.Score(dueLater)))
	g.Expect(placement.LRU{}.Score(dueSooner)).To(gomega.BeNumerically("<", placement.LRU{}.Score(dueLater)))
}

// Guards against a rarely used adapter that gets no slot while other adapters are in
// steady demand.
func TestOverdueLoadEvictsAnAdapterOfAnyDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	slots := []placement.Slot{{Demand: 5000, Worth: 1, Replicas: 1}, {Demand: 4000, Worth: 1, Replicas: 1}}
	pending := &placement.PendingLoad{Waiting: 1, Worth: 1, OldestWait: 14 * time.Second, Slack: 16 * time.Second}
	g.Expect(placement.Demand{}.Victim(pending, slots)).To(gomega.Equal(-1))
	pending.OldestWait, pending.Slack = 16*time.Second, 14*time.Second
	g.Expect(placement.Demand{}.Victim(pending, slots)).To(gomega.Equal(1))
}
