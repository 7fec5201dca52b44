package groupserver

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/tenure"
)

func quietManager() *Manager {
	m := New(Options{
		VM: "vm0", Incarnation: 1, Address: "127.0.0.1:1", Store: memstore.New(), Engines: noEngines{}, Observer: nopObserver{},
		StoreReachable: func() bool { return true }, StoreLost: func() bool { return false }, StoreCalled: func(error) {},
	})
	var targets []fleet.Target
	for i := range 40 {
		targets = append(targets, fleet.Target{ID: fmt.Sprintf("t%d", i), Service: "llm", Slots: 8})
	}
	m.SetFleet(map[string]fleet.Service{"llm": {Name: "llm", Engine: &fleet.Engine{}}}, targets)
	return m
}

// Guards against an object of another writer among the groups' that ends the process, for lack of
// memory, or hides the others.
func TestOddLayoutsAreIgnored(t *testing.T) {
	sound := objectstore.Object{Key: Kind + "/" + layoutPrefix + "llm", Version: 9, Value: []byte(`{"shards":3}`)}
	for _, value := range []string{`{"shards":1099511627776}`, `{"shards":200000}`, `{"shards":9223372036854775807}`, `{"shards":1e400}`, `{"shards":-1}`, `{"shards":0}`, `{}`, "null", "[]", `{"shards":"3"}`, ""} {
		g := gomega.NewWithT(t)
		m := quietManager()
		odd := sound
		odd.Version, odd.Value = 8, []byte(value)
		m.Replace([]objectstore.Object{odd}, 0)
		g.Expect(len(m.RankedGroups("llm", "m/a1"))).To(gomega.BeZero(), value)
		g.Expect(len(m.Status())).To(gomega.BeZero(), value)
		m.Change([]objectstore.Change{{Object: odd}, {Object: sound}, {Object: odd}}, 0)
		g.Expect(len(m.RankedGroups("llm", "m/a1"))).To(gomega.Equal(3), value)
	}
}

// Guards against an object of another writer that takes a group from its owner for ever, or makes
// up a group.
func TestOddRecordsAreIgnored(t *testing.T) {
	const record = `{"owner":"vm1","incarnation":1,"address":"127.0.0.1:2","epoch":7}`
	for _, value := range []string{
		`{"owner":"vm2","epoch":9223372036854775807}`, `{"owner":"vm2","epoch":-1}`, `{"owner":"vm2","epoch":0}`, `{"owner":"vm2","epoch":1e400}`, `{"owner":"","epoch":8}`,
		`{"owner":7,"epoch":8}`, `{"owner":"vm2","epoch":8,"reliant":-1}`, `{"owner":"vm2","epoch":8,"past":7}`, "null", "[]", "{}", "",
	} {
		g := gomega.NewWithT(t)
		m := quietManager()
		key := Kind + "/llm.0"
		m.Replace([]objectstore.Object{{Key: Kind + "/" + layoutPrefix + "llm", Version: 1, Value: []byte(`{"shards":1}`)}, {Key: key, Version: 2, Value: []byte(record)}}, 0)
		m.Change([]objectstore.Change{
			{Object: objectstore.Object{Key: key, Version: 3, Value: []byte(value)}},
			{Object: objectstore.Object{Key: Kind + "/nogroup", Version: 4, Value: []byte(record)}},
			{Object: objectstore.Object{Key: Kind + "/llm.x", Version: 4, Value: []byte(record)}},
			{Object: objectstore.Object{Key: Kind + "/llm.-1", Version: 4, Value: []byte(record)}},
			{Object: objectstore.Object{Key: Kind + "/", Version: 4, Value: []byte(record)}},
		}, 0)
		all := m.Status()
		g.Expect(all).To(gomega.HaveLen(1), value)
		g.Expect(all[0].Record.Owner).To(gomega.Equal("vm1"), value)
		g.Expect(all[0].Record.Epoch).To(gomega.Equal(int64(7)), value)
	}
}

// Guards against a record from another VM with an epoch that none can follow.
func TestOddRecordsOfOtherVMsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	m := quietManager()
	m.Replace([]objectstore.Object{{Key: Kind + "/" + layoutPrefix + "llm", Version: 1, Value: []byte(`{"shards":1}`)}}, 0)
	m.SetRecord("llm.0", tenure.Record{Owner: "vm1", Epoch: 7}, 2)
	for _, r := range []tenure.Record{{Owner: "vm2", Epoch: 1<<63 - 1}, {Owner: "vm2", Epoch: -1}, {Epoch: 8}} {
		m.SetRecord("llm.0", r, 3)
		m.Announced(grouprpc.AnnounceRequest{Group: "llm.0", Record: r, Version: 3})
	}
	g.Eventually(func() int64 { return m.Status()[0].Record.Epoch }).WithTimeout(time.Second).Should(gomega.Equal(int64(7)))
}
