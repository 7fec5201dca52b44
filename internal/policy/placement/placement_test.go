package placement_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/placement"
)

// Guards against an exchange of adapters that are worth about the same, which
// costs a load each time, and against a need that waits long in vain.
func TestDemandEvictsOnlyForABetterUse(t *testing.T) {
	g := gomega.NewWithT(t)
	slots := []placement.Slot{
		{Demand: 10, Worth: 1, Replicas: 1},
		{Demand: 4, Worth: 1, Replicas: 1},
		{Demand: 6, Worth: 1, Replicas: 2},
	}
	need := &placement.Need{Waiting: 1, Worth: 1}
	g.Expect(placement.Demand{}.Victim(need, slots)).To(gomega.Equal(-1))
	need.Oldest = 24 * time.Second
	g.Expect(placement.Demand{}.Victim(need, slots)).To(gomega.Equal(2)) // resident elsewhere too
	g.Expect(placement.LRU{}.Victim(need, nil)).To(gomega.Equal(-1))
}

// Guards against loads that ignore how soon the waiting requests are due.
func TestDemandLoadsWhatIsDueFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	late := &placement.Need{Waiting: 1, Worth: 1, Slack: 10 * time.Second}
	soon := &placement.Need{Waiting: 1, Worth: 1, Slack: time.Second, Sequence: 1}
	g.Expect(placement.Demand{}.Score(soon)).To(gomega.BeNumerically(">", placement.Demand{}.Score(late)))
	g.Expect(placement.LRU{}.Score(soon)).To(gomega.BeNumerically("<", placement.LRU{}.Score(late)))
}

// Guards against a rare adapter that never gets a slot while others are in
// steady demand.
func TestOverdueNeedIsServedWhateverTheDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	slots := []placement.Slot{{Demand: 5000, Worth: 1, Replicas: 1}, {Demand: 4000, Worth: 1, Replicas: 1}}
	need := &placement.Need{Waiting: 1, Worth: 1, Oldest: 14 * time.Second, Slack: 16 * time.Second}
	g.Expect(placement.Demand{}.Victim(need, slots)).To(gomega.Equal(-1))
	need.Oldest, need.Slack = 16*time.Second, 14*time.Second
	g.Expect(placement.Demand{}.Victim(need, slots)).To(gomega.Equal(1))
}
