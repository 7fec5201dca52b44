package groupserver

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

// group is one target group as this VM sees it, with a core while it owns it.
type group struct {
	m      *Manager
	name   string
	listed atomic.Bool
	acting atomic.Bool

	mu       sync.Mutex
	tenure   *tenure.StateMachine
	version  int64 // of the object
	params   placer.Params
	targets  []fleet.Target
	versions map[placer.Adapter]int64

	core    *placer.Core // nil while another VM owns the group
	epoch   int64
	fenced  bool // a target has seen a newer owner
	halted  bool // no orders: the group was given up and waits for its next owner
	waiters map[string]chan grouprpc.AcquireReply
	timer   *time.Timer
	view    view
	callers map[string]time.Duration // VMs by their last call
	retired map[string]time.Duration // cancelled before they were queued
}

func newGroup(m *Manager, name string) *group {
	g := &group{
		m: m, name: name, versions: map[placer.Adapter]int64{},
		waiters: map[string]chan grouprpc.AcquireReply{}, callers: map[string]time.Duration{}, retired: map[string]time.Duration{},
	}
	g.tenure = tenure.New(g.self())
	if m.listed.Load() {
		g.tenure.SetAbsent(m.now())
		g.listed.Store(true)
	}
	return g
}

func (g *group) self() tenure.Candidate {
	return tenure.Candidate{
		VM: g.m.opt.VM, Incarnation: g.m.opt.Incarnation, Jitter: g.m.jitter(g.name), Lease: g.m.opt.Lease,
	}
}

func (g *group) setFleet(params placer.Params, targets []fleet.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.params, g.targets = params, targets
	if g.core != nil {
		g.core.SetParams(params)
		g.core.SetTargets(g.m.now(), targets)
		g.tick()
	}
}

func (g *group) parameters() placer.Params {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.params
}

func (g *group) setVersion(a placer.Adapter, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versions[a] = max(g.versions[a], version)
	if g.core != nil {
		g.core.SetVersion(g.m.now(), a, version)
		g.tick()
	}
}

func (g *group) owned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core != nil && !g.halted
}

func (g *group) status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	record, exists := g.tenure.Record()
	return Status{Name: g.name, Record: record, Exists: exists, Own: g.core != nil && !g.halted}
}

func (g *group) absent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tenure.SetAbsent(g.m.now())
	g.version = 0
	g.follow()
}

func (g *group) setRecord(r tenure.Record, version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version < g.version {
		return
	}
	before, _ := g.tenure.Record()
	g.version = version
	g.tenure.SetRecord(g.m.now(), r)
	if before.Epoch != r.Epoch || before.Released != r.Released {
		g.m.opt.Observer.GroupChanged(g.name, r, tenure.NoAction, nil)
	}
	g.follow()
}

// follow starts or ends the core as the last record says. The caller holds the
// lock.
func (g *group) follow() {
	record, _ := g.tenure.Record()
	switch {
	case g.tenure.Owns() && g.core == nil:
		g.begin(record)
	case g.core == nil || g.tenure.Owns():
	case record.Epoch == g.epoch && record.Released:
		g.halted = true // serves what is resident until the next owner is known
	default:
		g.end()
	}
}

func (g *group) begin(record tenure.Record) {
	params := g.params
	params.Fresh = record.Epoch == 1
	g.core, g.epoch, g.halted, g.fenced = placer.New(params), record.Epoch, false, false
	now := g.m.now()
	for a, version := range g.versions {
		g.core.SetVersion(now, a, version)
	}
	g.core.TakenOver(now)
	g.core.SetTargets(now, g.targets)
	g.view = newView()
	g.timer = time.AfterFunc(0, g.timed)
}

// end stops the core. Its waiting requests are refused, so that the front ends
// ask the next owner.
func (g *group) end() {
	g.core = nil
	g.timer.Stop()
	for id, waiter := range g.waiters {
		waiter <- grouprpc.AcquireReply{Err: errs.NotRun(errs.NotOwner, "the group has a new owner")}
		delete(g.waiters, id)
	}
}

func (g *group) contact(epoch int64, blind bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if record, _ := g.tenure.Record(); record.Epoch == epoch {
		g.tenure.OwnerResponded(g.m.now(), blind)
	}
}

func (g *group) missed(epoch int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if record, _ := g.tenure.Record(); record.Epoch == epoch {
		g.tenure.OwnerCallFailed(g.m.now())
	}
}

// step carries out what the tenure asks for.
func (g *group) step(ctx context.Context) {
	g.mu.Lock()
	if len(g.targets) == 0 && g.core == nil {
		g.mu.Unlock()
		return
	}
	now := g.m.now()
	action := g.tenure.NextAction(now, g.m.opt.StoreFine())
	g.mu.Unlock()
	if action == tenure.NoAction || action != tenure.Answer && g.m.isDraining() || g.acting.Swap(true) {
		return
	}
	go func() {
		defer g.acting.Store(false)
		g.act(ctx, action)
	}()
}

// storeTimeout bounds one write of a group's object.
const storeTimeout = 1500 * time.Millisecond

// act writes the record that an action asks for, on the condition that the
// object has not changed.
func (g *group) act(ctx context.Context, action tenure.Action) {
	g.mu.Lock()
	former, exists := g.tenure.Record()
	record := g.tenure.RecordAfter(action, g.m.opt.Address)
	version := g.version
	if action == tenure.Release {
		g.halted = true
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(record)
	if err != nil {
		g.m.opt.Observer.GroupChanged(g.name, record, action, errs.Wrap(err, errs.Internal, "encode the record of a group"))
		return
	}
	key := Kind + "/" + g.name
	if exists {
		object, failure := g.m.opt.Store.Update(ctx, key, value, version)
		err, version = failure, object.Version
	} else {
		object, failure := g.m.opt.Store.Create(ctx, key, value)
		err, version = failure, object.Version
	}
	g.m.opt.Observer.GroupChanged(g.name, record, action, err)
	if err != nil {
		g.refresh()
		return
	}
	g.setRecord(record, version)
	if action == tenure.TakeOver && former.Address != "" && former.Address != g.m.opt.Address {
		g.m.opt.Announce(former.Address, grouprpc.AnnounceRequest{Group: g.name, Record: record, Version: version})
	}
}

// refresh reads the object, after a write whose result is not known.
func (g *group) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	object, err := g.m.opt.Store.Get(ctx, Kind+"/"+g.name, 0)
	if err != nil {
		return // the watch tells, once the store is reached again
	}
	g.m.enter(object)
}

// kill ends the core as the end of the process would.
func (g *group) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.halted = true
	if g.core != nil {
		g.end()
	}
}

func (g *group) queued() (int, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core == nil {
		return 0, 0
	}
	return g.core.Queued(g.m.now())
}

func (g *group) hasOwner() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	record, exists := g.tenure.Record()
	return exists && !record.Released
}
