package groupclient

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/gateway"
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
