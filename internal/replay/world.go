package replay

import (
	"maps"
	"slices"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/group"
	"cicadaslip/internal/loadcoord"
	"cicadaslip/internal/model"
)

// Options select what a run tests.
type Options struct {
	Params   core.Params
	Baseline bool // plain routing and loads in the order of asking
	Seed     uint64
}

// drainTime is how long a run goes on after the last record, at least the
// longest deadline of the generator's requests.
const drainTime = 90 * time.Second

// view is what an entry VM knows of a group.
type view struct {
	wait     time.Duration
	resident map[model.AdapterVersion]bool
}

// world is one run: the targets, the groups, the entry VMs and their callers.
type world struct {
	timeline
	trace       *Trace
	deployment  *Deployment
	options     Options
	targets     map[string]*target
	order       []*target
	listed      map[string]model.Target
	groups      map[string]*groupSim
	groupNames  []string
	dataCentres []string
	views       map[string]map[string]view // by data centre and group
	loads       *loads
	requests    []*request
	attempts    map[model.RequestID]*attempt
	lengths     map[string]float64
	waiting     map[loadcoord.Key][]*attempt // for a load
	work        map[string][]time.Duration   // given per organisation and second
	hedges      int
	checker     *checker
}

// run replays a trace. It uses no clock and no goroutine.
func run(trace *Trace, options Options) *world {
	w := newWorld(trace, options)
	w.after(0, w.tell)
	w.after(reportInterval, w.report)
	w.feed(0)
	w.timeline.run(trace.end() + drainTime)
	w.checker.finish()
	return w
}

func newWorld(trace *Trace, options Options) *world {
	w := &world{
		trace: trace, deployment: &trace.Header.Deployment, options: options,
		targets: map[string]*target{}, listed: map[string]model.Target{}, groups: map[string]*groupSim{},
		views: map[string]map[string]view{}, attempts: map[model.RequestID]*attempt{}, lengths: map[string]float64{},
		waiting: map[loadcoord.Key][]*attempt{}, work: map[string][]time.Duration{},
	}
	w.checker = newChecker(w)
	rate := w.deployment.LoadRate
	w.loads = &loads{
		w: w, rate: rate, asks: map[loadcoord.Key]*groupSim{},
		coordinator: loadcoord.New(loadcoord.Params{LoadsPerSecond: rate, Burst: loadBurst}),
	}
	w.build()
	return w
}

func (w *world) build() {
	for _, info := range w.deployment.Targets {
		t := &target{
			w: w, info: info, region: w.deployment.Regions[info.DataCentre],
			resident: map[model.AdapterVersion]bool{}, factor: 1,
		}
		w.targets[info.Name] = t
		w.order = append(w.order, t)
		w.listed[info.Name] = info
	}
	w.dataCentres = slices.Sorted(maps.Keys(w.deployment.Regions))
	for _, dataCentre := range w.dataCentres {
		w.views[dataCentre] = map[string]view{}
	}
	perPool := max(1, w.deployment.GroupsPerPool)
	for i, info := range group.FromListing(w.deployment.Targets, perPool) {
		w.groups[info.Name] = newGroupSim(w, info, w.options.Seed+uint64(i))
		w.groupNames = append(w.groupNames, info.Name)
	}
}

// feed enters the records one after the other, so that the queue stays short.
func (w *world) feed(next int) {
	if next >= len(w.trace.Records) {
		return
	}
	record := &w.trace.Records[next]
	w.after(record.At-w.now, func() {
		w.enter(record)
		w.feed(next + 1)
	})
}

func (w *world) enter(r *Record) {
	switch {
	case r.Arrival != nil:
		w.arrive(r.Arrival)
	case r.Slow != nil:
		t := w.targets[r.Slow.Target]
		t.factor, t.slowUntil = r.Slow.Factor, w.now+r.Slow.Length
	case r.Lag != nil:
		w.targets[r.Lag.Target].lag = r.Lag.Lag
	case r.Restart != nil:
		w.targets[r.Restart.Target].restart()
	case r.FailLoads != nil:
		w.targets[r.FailLoads.Target].failLoads = r.FailLoads.Count
	case r.List != nil:
		w.list(r.List)
	case r.Configuration != nil:
		w.configure(r.Configuration)
	}
}

// list changes the platform's list; the owners see it after listLag.
func (w *world) list(change *ListChange) {
	w.checker.listed(change)
	w.after(listLag, func() {
		info := w.targets[change.Target].info
		info.Leaving = change.Leaving
		if change.Removed {
			delete(w.listed, change.Target)
		} else {
			w.listed[change.Target] = info
		}
		for _, name := range w.groupNames {
			g := w.groups[name]
			var listing []model.Target
			for _, t := range g.info.Targets {
				if listed, ok := w.listed[t.Name]; ok {
					listing = append(listing, listed)
				}
			}
			g.apply(core.TargetsChanged{Targets: listing})
		}
	})
}

func (w *world) configure(c *Configuration) {
	if c.LoadRate > 0 {
		w.loads.setRate(c.LoadRate)
	}
	if len(c.Shares) == 0 {
		return
	}
	for _, name := range w.groupNames {
		w.groups[name].apply(core.SharesChanged{Shares: c.Shares})
	}
}

// delay is the one-way delay between two processes.
func (w *world) delay(from, to string) time.Duration {
	if w.deployment.Regions[from] != w.deployment.Regions[to] {
		return w.deployment.RegionDelay
	}
	return w.deployment.LocalDelay
}

// tell sends what groups tell the entry VMs.
func (w *world) tell() {
	for _, name := range w.groupNames {
		g := w.groups[name]
		v := view{wait: g.wait(), resident: g.residentSet()}
		for _, dataCentre := range w.dataCentres {
			w.after(w.delay(g.info.DataCentre, dataCentre), func() { w.views[dataCentre][name] = v })
		}
	}
	w.after(viewInterval, w.tell)
}

// report sends load reports and the progress that entry VMs observe.
func (w *world) report() {
	for _, name := range w.groupNames {
		g := w.groups[name]
		for _, t := range g.targets {
			if t.info.Class != model.ClassRunner {
				continue
			}
			t.report(g)
			for _, j := range append(append([]*job(nil), t.running...), t.waiting...) {
				w.progress(g, t, j)
			}
		}
	}
	w.after(reportInterval, w.report)
}

func (w *world) progress(g *groupSim, t *target, j *job) {
	back := w.delay(t.info.DataCentre, j.attempt.request.arrival.DataCentre)
	p := core.Progress{ID: j.attempt.id, Target: t.info.Name, SilentFor: w.now - j.attempt.sentAt}
	if j.firstAt > 0 {
		p.Tokens = j.attempt.request.arrival.OutputTokens - j.outputLeft
		p.FirstToken = j.firstAt + back - j.attempt.sentAt
		p.SilentFor = w.now - j.lastAt
		if p.Tokens > 1 {
			p.TokenGap = (j.lastAt - j.firstAt) / time.Duration(p.Tokens-1)
		}
	}
	w.after(2*back, func() { g.apply(p) })
}

func (w *world) measured() bool {
	return w.now >= w.trace.Header.MeasureFrom && w.now <= w.trace.end()
}

// given enters work of a target for an organisation. Work of services is not
// part of the shares of the runners' capacity.
func (w *world) given(organisation string, work time.Duration, runner bool) {
	if !runner {
		return
	}
	second := int(w.now / time.Second)
	row := w.work[organisation]
	for len(row) <= second {
		row = append(row, 0)
	}
	row[second] += work
	w.work[organisation] = row
}

// startStall notes that a request waits for a load: no target of the group has
// its adapter.
func (w *world) startStall(a *attempt) {
	if a.request.arrival.Class != model.ClassRunner {
		return
	}
	adapter := a.request.arrival.adapter()
	for _, t := range a.group.targets {
		if t.resident[adapter] {
			return
		}
	}
	a.stallAt = w.now
	a.request.stalled = true
	key := loadcoord.Key{Group: a.group.info.Name, Adapter: adapter}
	w.waiting[key] = append(w.waiting[key], a)
}

func (w *world) endStall(a *attempt) {
	if a.stallAt >= 0 {
		a.request.stall += w.now - a.stallAt
		a.stallAt = -1
	}
}

// loaded ends the stalls of the requests that waited for an adapter in the
// group of a target.
func (w *world) loaded(t *target, adapter model.AdapterVersion) {
	key := loadcoord.Key{Group: group.Name(t.info, max(1, w.deployment.GroupsPerPool)), Adapter: adapter}
	for _, a := range w.waiting[key] {
		w.endStall(a)
	}
	delete(w.waiting, key)
}
