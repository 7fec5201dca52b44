package groupserver

import (
	"bytes"
	"context"
	"encoding/gob"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

// Numbers at which sums and products of a message's values overflow or lose their meaning.
var (
	extremeInts   = []int64{0, 1, -1, 9, 1000, math.MaxInt32, math.MinInt32, math.MaxInt64, math.MinInt64, math.MaxInt64 - 1, int64(time.Second), -int64(time.Second), int64(time.Hour)}
	extremeFloats = []float64{0, 1, -1, 0.5, 50, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, -math.MaxFloat64, math.SmallestNonzeroFloat64}
	longName      = strings.Repeat("n", 1<<10)
	names         = []string{"", "a", "b", "base", "t0", "t1", "t2", "vm0", "vm1", "vm2", "m/a", longName}
)

// drawer draws the values of a message.
type drawer struct{ t *rapid.T }

func (d drawer) int(label string) int64 {
	return rapid.OneOf(rapid.SampledFrom(extremeInts), rapid.Int64()).Draw(d.t, label)
}
func (d drawer) duration(label string) time.Duration { return time.Duration(d.int(label)) }
func (d drawer) float(label string) float64 {
	return rapid.OneOf(rapid.SampledFrom(extremeFloats), rapid.Float64()).Draw(d.t, label)
}
func (d drawer) bool(label string) bool   { return rapid.Bool().Draw(d.t, label) }
func (d drawer) count(label string) int   { return rapid.IntRange(0, 4).Draw(d.t, label) }
func (d drawer) name(label string) string { return rapid.SampledFrom(names).Draw(d.t, label) }

func (d drawer) request() placer.Request {
	r := placer.Request{
		ID: d.name("id"), Holder: d.name("holder"), DataCentre: d.name("data centre"), Bytes: int(d.int("bytes")),
		Adapter:      placer.Adapter{Model: rapid.SampledFrom([]string{"base", "", "x"}).Draw(d.t, "model"), Name: d.name("adapter")},
		PromptTokens: int(d.int("prompt")), OutputTokens: int(d.int("output")), Priority: int(d.int("priority")),
		Objective: d.duration("objective"), Deadline: d.duration("deadline"), Abandon: d.duration("abandon"),
	}
	for range d.count("parts") {
		r.Parts = append(r.Parts, placer.Part{ID: d.name("part"), Tokens: int(d.int("part tokens"))})
	}
	for range d.count("excluded") {
		r.Exclude = append(r.Exclude, d.name("exclude"))
	}
	return r
}

func (d drawer) limits() map[string]float64 {
	limits := map[string]float64{}
	for range d.count("limits") {
		limits[d.name("limited")] = d.float("limit")
	}
	return limits
}

func (d drawer) sync(group string) grouprpc.SyncRequest {
	r := grouprpc.SyncRequest{
		Group: group, Epoch: rapid.SampledFrom([]int64{0, 1, 1, 1, math.MaxInt64, math.MinInt64}).Draw(d.t, "epoch"), VM: d.name("vm"), Since: uint64(d.int("since")),
		RateLimits: d.limits(), Incarnation: uint64(d.int("incarnation")), Leaving: d.bool("leaving"),
		Promise: tenure.Promise{Given: d.bool("given"), Stamp: d.duration("stamp")},
	}
	for range d.count("held") {
		r.Held = append(r.Held, grouprpc.RunningRequest{Request: d.request(), Target: d.name("target"), Started: d.bool("started")})
	}
	return r
}

func (d drawer) events(group string) grouprpc.EventsRequest {
	r := grouprpc.EventsRequest{Group: group, VM: d.name("vm")}
	for range d.count("events") {
		r.Events = append(r.Events, grouprpc.Event{
			ID: d.name("id"), Kind: grouprpc.EventKind(rapid.Uint8Range(0, 5).Draw(d.t, "kind")), Outcome: placer.Outcome(d.name("outcome")),
			Slowness: d.float("slowness"), RateLimit: d.float("limit"), Age: d.duration("age"),
		})
	}
	return r
}

// carry returns a message as its receiver decodes it.
func carry[T any](t *rapid.T, message T) (received T) {
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(message); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&wire).Decode(&received); err != nil {
		t.Fatal(err)
	}
	return received
}

// ownerForCalls returns a manager that owns a group of three targets, and the group.
func ownerForCalls(checksFences bool) (*Manager, *group) {
	m := New(Options{
		VM: "vm0", Incarnation: 1, Address: "127.0.0.1:1", Store: memstore.New(), Engines: noEngines{}, Observer: nopObserver{},
		TargetsCheckFences: checksFences, StoreReachable: func() bool { return true }, StoreLost: func() bool { return false },
	})
	var targets []fleet.Target
	for _, id := range []string{"t0", "t1", "t2"} {
		targets = append(targets, fleet.Target{ID: id, Service: "s", Slots: 4, Models: []fleet.ResidentModel{{Name: "base", Version: 1, Adapters: []fleet.ResidentAdapter{{Name: "a", Version: 1}}}}})
	}
	g := newGroup(m, GroupName("s", 0))
	m.groups[g.name] = g
	g.params = placer.Params{Engine: placer.Engine{AdapterSlots: 2, CacheTokens: 10000, EventTokens: 4, Models: []placer.Model{{Name: "base"}}}}
	g.targets = targets
	g.setRecord(tenure.Record{Owner: "vm0", Incarnation: 1, Epoch: 1}, 1)
	return m, g
}

// pass lets time pass for the group.
func (g *group) pass(d time.Duration) {
	g.mu.Lock()
	g.manager.start = g.manager.start.Add(-d)
	g.mu.Unlock()
	g.timerFired()
}

// checkCalls makes calls with any arguments at the owner of a group. None may panic, then or
// when time passes, leave anything behind for ever, or keep the owner from serving later
// requests.
func checkCalls(t *rapid.T) {
	d := drawer{t}
	m, g := ownerForCalls(d.bool("fences"))
	defer g.kill()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for range rapid.IntRange(1, 12).Draw(t, "calls") {
		switch rapid.IntRange(0, 4).Draw(t, "call") {
		case 0:
			r := carry(t, grouprpc.AcquireRequest{Group: g.name, Epoch: 1, Request: d.request(), RateLimits: d.limits(), Pauses: []advisory.Pause{{Target: d.name("paused"), Born: d.int("born"), Left: d.duration("left")}}})
			g.enqueue(r, make(chan grouprpc.AcquireReply, 1))
		case 1:
			m.Acquire(gone, carry(t, grouprpc.AcquireRequest{Group: g.name, Epoch: d.int("epoch"), Request: d.request()}))
		case 2:
			m.Events(carry(t, d.events(g.name)))
		case 3:
			carry(t, m.Sync(carry(t, d.sync(g.name))))
		default:
			g.pass(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, time.Minute}).Draw(t, "pause"))
		}
	}
	for range 3 {
		g.pass(25 * time.Hour)
	}
	g.mu.Lock()
	waiting, queued := len(g.waiters), g.core.HasQueue()
	g.mu.Unlock()
	if waiting > 0 || queued {
		t.Fatalf("after three days %d calls wait, requests are queued: %v", waiting, queued)
	}
	reply := make(chan grouprpc.AcquireReply, 1)
	g.enqueue(grouprpc.AcquireRequest{Group: g.name, Epoch: 1, Request: placer.Request{
		ID: "later", Holder: "vm9", Adapter: placer.Adapter{Model: "base"}, PromptTokens: 100, OutputTokens: 10, Objective: 10 * time.Second, Deadline: 30 * time.Second,
	}}, reply)
	for range 50 {
		g.pass(20 * time.Millisecond)
	}
	select {
	case r := <-reply:
		if r.Err != nil {
			t.Fatalf("a later request is refused: %v", r.Err)
		}
	default:
		t.Fatal("a later request is not served")
	}
}

// Guards against arguments of calls between VMs that take the owner of a group down, stay
// with it for ever, or keep it from serving later requests.
func TestOwnerSurvivesAnyCalls(t *testing.T) { rapid.Check(t, checkCalls) }

// FuzzCalls is TestOwnerSurvivesAnyCalls for inputs of the fuzzer.
func FuzzCalls(f *testing.F) {
	const seeds, bytesPerSeed = 16, 4 << 10
	for seed := range uint64(seeds) {
		input := make([]byte, bytesPerSeed)
		_, _ = rand.NewChaCha8([32]byte{byte(seed)}).Read(input)
		f.Add(input)
	}
	f.Fuzz(rapid.MakeFuzz(checkCalls))
}
