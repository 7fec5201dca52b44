package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadaslip/internal/balance"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/retrybudget"
)

// deployment is the present state of the deployment as this VM sees it. It
// implements gateway.Fleet.
type deployment struct {
	settings *Settings
	start    time.Time
	vms      func() int
	versions *versionTable
	metrics  *metrics.Registry

	routes atomic.Pointer[fleet.RouteTable]

	mu        sync.Mutex
	registry  *fleet.Registry
	settledAt time.Time // of the last look for missing targets whose time is over
	listed    bool
	targets   map[string]fleet.Target
	changes   []targetChange                 // since they were last taken
	balancers map[string]*balance.Balancer   // by plain service
	budgets   map[string]*retrybudget.Budget // by service
}

func newDeployment(s *Settings, start time.Time, vms func() int, versions *versionTable, m *metrics.Registry) *deployment {
	return &deployment{
		settings: s, start: start, vms: vms, versions: versions, metrics: m, registry: fleet.NewRegistry(), targets: map[string]fleet.Target{},
		balancers: map[string]*balance.Balancer{}, budgets: map[string]*retrybudget.Budget{},
	}
}

func (d *deployment) now() time.Duration { return time.Since(d.start) }

// Routes implements gateway.Fleet.
func (d *deployment) Routes() *fleet.RouteTable { return d.routes.Load() }

// setConfig puts a configuration into force unless a newer one is. It reports
// whether it did.
func (d *deployment) setConfig(c *fleet.Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.routes.Load(); known != nil && known.Config.Version >= c.Version {
		return false
	}
	d.routes.Store(fleet.NewRouteTable(c))
	d.rebuild()
	return true
}

// change changes the registry and rebuilds what follows from it.
func (d *deployment) change(f func(r *fleet.Registry, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.registry, time.Now())
	d.rebuild()
}

// apply enters what another VM knows of the targets. It reports whether that may
// change the table.
func (d *deployment) apply(c fleet.Changes) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Apply(time.Now(), c)
	if !c.Full && len(c.Rows) == 0 {
		return false
	}
	d.listed = d.listed || c.Full
	d.rebuild()
	return true
}

// isListed reports whether the whole list of targets was read once.
func (d *deployment) isListed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

// reachedTargets tells that all changes of targets up to a revision are entered.
func (d *deployment) reachedTargets(revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.AdvanceTo(revision)
}

// knownTargets returns the revision of the store up to which all changes of targets
// are known.
func (d *deployment) knownTargets() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.AsOf()
}

// targetsSince returns what a VM that knows all up to a revision has to be told.
func (d *deployment) targetsSince(revision int64) fleet.Changes {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.ChangesSince(time.Now(), revision)
}

// settle drops missing targets whose time is over. It reports whether there were
// some at its last call.
func (d *deployment) settle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.registry.RetainsMissing(d.settledAt)
	d.settledAt = time.Now()
	if kept {
		d.rebuild()
	}
	return kept
}

func (d *deployment) rebuild() {
	before := d.targets
	d.targets = map[string]fleet.Target{}
	byService := map[string][]fleet.Target{}
	for _, t := range d.registry.Targets(time.Now()) {
		d.targets[t.ID] = t
		byService[t.Service] = append(byService[t.Service], t)
	}
	d.changes = append(d.changes, compareTargets(before, d.targets)...)
	for service := range byService {
		d.balancer(service)
	}
	for service, b := range d.balancers {
		b.SetTargets(byService[service])
	}
}

func (d *deployment) balancer(service string) *balance.Balancer {
	b := d.balancers[service]
	if b == nil {
		b = balance.New(d.settings.DataCentre, d.settings.Regions)
		d.balancers[service] = b
	}
	return b
}

// takeChanges returns the changes of the targets since the last call.
func (d *deployment) takeChanges() []targetChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.changes
	d.changes = nil
	return changes
}

// services returns the services in force and the present targets.
func (d *deployment) services() (map[string]fleet.Service, []fleet.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	targets := make([]fleet.Target, 0, len(d.targets))
	for _, t := range d.targets {
		targets = append(targets, t)
	}
	if routes := d.routes.Load(); routes != nil {
		return routes.Config.Services, targets
	}
	return nil, targets
}

// target returns a target that requests may be sent to.
func (d *deployment) target(id string) (fleet.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, found := d.targets[id]
	return t, found && !t.Leaving
}

// Usable implements gateway.Fleet. A target that this VM does not know yet may be
// news to its owner only.
func (d *deployment) Usable(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, found := d.targets[id]
	return !found || !t.Leaving
}

// RequiredVersion implements gateway.Fleet.
func (d *deployment) RequiredVersion(a placer.Adapter) int64 { return d.versions.required(a) }

// Pick implements gateway.Fleet.
func (d *deployment) Pick(service string, exclude []string) (fleet.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer(service).Pick(d.now(), exclude)
}

// Expected implements gateway.Fleet.
func (d *deployment) Expected(service, target string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer(service).ExpectedLatency(target)
}

// Answered implements gateway.Fleet.
func (d *deployment) Answered(service, target string, outcome balance.Outcome, took, connect time.Duration, load *balance.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.balancer(service)
	now := d.now()
	if load != nil {
		b.ReportLoad(now, target, *load)
	}
	if connect > 0 {
		b.ObserveConnect(target, connect)
	}
	b.Finish(now, target, outcome, took)
}

func (d *deployment) budget(service string) *retrybudget.Budget {
	b := d.budgets[service]
	if b == nil {
		b = retrybudget.New(d.settings.Budget)
		d.budgets[service] = b
	}
	return b
}

// CountRequest implements gateway.Fleet.
func (d *deployment) CountRequest(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).RecordRequest(d.now())
}

// TakeRepeat implements gateway.Fleet.
func (d *deployment) TakeRepeat(service string) bool {
	vms := d.vms()
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budget(service)
	b.SetVMs(vms)
	allowed := b.TryRetry(d.now())
	if allowed {
		d.metrics.Count(metrics.EdgeRepeats, "allowed")
	} else {
		d.metrics.Count(metrics.EdgeRepeats, "denied")
	}
	return allowed
}
