package groupserver

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

type nopObserver struct{}

func (nopObserver) GroupChanged(string, tenure.Record, tenure.Action, error) {}
func (nopObserver) Ordered(string, int64, placer.Order, placer.OrderResult, time.Duration) {
}
func (nopObserver) Panicked(string, *errs.Error)               {}
func (nopObserver) Reported(string, string, error)             {}
func (nopObserver) ReportPartIgnored(string, error)            {}
func (nopObserver) ObjectIgnored(objectstore.Object, error)    {}
func (nopObserver) Granted(string, int64, placer.GrantRequest) {}
func (nopObserver) Refused(string, int64, placer.RefuseRequest) {
}

type noEngines struct{}

func (noEngines) Order(context.Context, placer.Order, string, int64) placer.OrderResult {
	return placer.NotSent
}

func (noEngines) Report(context.Context, string, string) (*placer.Report, error) {
	return nil, errs.New(errs.TargetUnavailable, "this test has no targets")
}

// Guards against deciding the number of groups when only the first targets of a
// deployment are known, and against targets that belong to two groups.
func TestLayoutWaitsForAllTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memstore.New()
	m := New(Options{
		VM: "vm0", Incarnation: 1, Address: "127.0.0.1:1", Store: store, Engines: noEngines{}, Observer: nopObserver{},
		SettleDelay: 100 * time.Millisecond, StoreReachable: func() bool { return true }, StoreLost: func() bool { return false },
		Announce: func(string, grouprpc.AnnounceRequest) (grouprpc.AnnounceReply, error) {
			return grouprpc.AnnounceReply{}, nil
		},
		StoreCalled: func(error) {},
	})
	m.Replace(nil, 0)
	services := map[string]fleet.Service{"llm": {Name: "llm", Engine: &fleet.Engine{AdapterSlots: 4}}}
	var targets []fleet.Target
	for i := range 140 {
		targets = append(targets, fleet.Target{ID: fmt.Sprintf("t%d", i), Service: "llm", Slots: 8})
	}
	m.SetFleet(services, targets[:20])
	time.Sleep(40 * time.Millisecond)
	m.SetFleet(services, targets)
	g.Eventually(func() int { return len(m.Status()) }).WithTimeout(10 * time.Second).Should(gomega.Equal(8))
	object, err := store.Get(context.Background(), Kind+"/"+layoutPrefix+"llm", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var l layout
	g.Expect(json.Unmarshal(object.Value, &l)).To(gomega.Succeed())
	g.Expect(l.Shards).To(gomega.Equal(8))
	seen := map[string]string{}
	for _, group := range m.allGroups() {
		for _, target := range group.targets {
			g.Expect(seen).NotTo(gomega.HaveKey(target.ID))
			seen[target.ID] = group.name
		}
	}
	g.Expect(seen).To(gomega.HaveLen(140))
	g.Expect(m.RankedGroups("llm", "base/a1")).To(gomega.HaveLen(8))
	g.Expect(m.RankedGroups("llm", "base/a1")).To(gomega.Equal(m.RankedGroups("llm", "base/a1")))
}
