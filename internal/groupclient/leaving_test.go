package groupclient

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/ratelimit"
)

// Guards against an owner that hears of a leaving target only with its next regular call,
// against calls to all owners because of one target, and against a statement that a new owner
// is not told.
func TestOwnersAreToldAtOnceWhichTargetsLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	const groups = 53
	table := advisory.NewTable()
	c := &Client{groups: map[string]*ownerState{}, opt: Options{
		LeavingSince: func(version uint64, own bool) advisory.Delta { return table.Since(time.Second, version, own) },
	}}
	calledAt := 10 * time.Millisecond
	for i := range groups {
		name := fmt.Sprintf("s.%02d", i)
		c.groups[name] = &ownerState{name: name, owner: "vm", lastSyncAt: calledAt}
	}
	due := func() (names []string) {
		for name, o := range c.groups {
			if o.lastSyncAt == 0 {
				names = append(names, name)
				o.lastSyncAt = calledAt
			}
		}
		return names
	}
	stated := func() {
		lease := gateway.Lease{Owner: "vm", Group: "s.40"}
		lease.Grant.Target = "t"
		c.Stated(lease, gateway.TargetStatement{Leaving: true})
	}
	table.Observe(advisory.Incarnation{Target: "t", Born: 1}, advisory.Statement{Leaving: true, HeardAt: time.Second}, ratelimit.Position{})
	stated()
	g.Expect(due()).To(gomega.Equal([]string{"s.40"}))
	c.TellLeaving()
	g.Expect(len(due())).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 1+groups/groupsPerExchange)))
	c.groups["s.40"].leavingSent = c.opt.LeavingSince(0, true).Version
	stated()
	g.Expect(due()).To(gomega.BeEmpty(), "the owner has been told")
	c.groups["s.40"].reset()
	stated()
	g.Expect(due()).To(gomega.Equal([]string{"s.40"}), "the next owner")
}

// Guards against requests to a target that leaves or pauses while no owner responds, and against
// places and limits that are used up by grants which the gateway then skips.
func TestChoiceWithoutAnOwnerLeavesOutTargetsThatTakeNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	a := placer.Adapter{Model: "base", Name: "a"}
	var taken []string
	c := &Client{
		groups: map[string]*ownerState{}, localGrants: map[string]int{}, start: time.Now(),
		opt: Options{
			RequiredVersion: func(placer.Adapter) int64 { return 0 },
			Target:          func(id string) (fleet.Target, bool) { return fleet.Target{ID: id, Born: 7}, id != "leaves" },
			TakeFromLimit:   func(target string, _ bool) bool { taken = append(taken, target); return true },
		},
	}
	c.groups["s.0"] = &ownerState{name: "s.0", responded: true, resident: map[placer.Adapter][]placer.ResidentAdapter{
		a: {{Target: "leaves", Adapter: a}, {Target: "stays", Adapter: a}},
	}}
	for range 3 {
		lease, _ := c.chooseLocally([]string{"s.0"}, placer.Request{ID: "r", Adapter: a})
		g.Expect(lease.Grant.Target).To(gomega.Equal("stays"))
	}
	g.Expect(taken).To(gomega.Equal([]string{"stays", "stays", "stays"}))
	g.Expect(c.localGrants).To(gomega.Equal(map[string]int{"stays": 3}))
	lease, _ := c.chooseLocally([]string{"s.0"}, placer.Request{ID: "r", Adapter: a, Exclude: []string{"stays"}})
	g.Expect(lease.Grant.Target).To(gomega.BeEmpty())
}
