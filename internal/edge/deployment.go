package edge

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/balance"
	"cicadaslip/internal/bootclock"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/ratelimit"
	"cicadaslip/internal/retrybudget"
)

// deployment is this VM's view of the deployment. It implements gateway.Fleet.
type deployment struct {
	settings  *Settings
	startedAt time.Time
	position  func() ratelimit.Position // of this VM in the deployment
	// leavingChanged is called after a target has begun or ceased to leave by its own word.
	leavingChanged func(source string)
	// pausesChanged is called after a pause may have begun or ended.
	pausesChanged func()
	versions      *versionTable
	metrics       *metrics.Registry

	routes atomic.Pointer[fleet.RouteTable]
	// outdated reports whether another VM has a newer configuration in force.
	outdated func() bool
	// configConfirmedAt is when the configuration in force was last known to be the newest, by
	// a clock that runs while the VM is suspended, 0 if it never was.
	configConfirmedAt atomic.Int64

	mu              sync.Mutex
	registry        *fleet.Registry
	pauseTimer      *time.Timer // runs until the end of the next pause, nil before the first one
	expiryCheckedAt time.Time   // when expireMissingTargets was last called
	targetsListed   bool        // the whole list of targets has been received
	targets         map[string]fleet.Target
	changes         []targetChange                 // since the last call of takeChanges
	balancers       map[string]*balance.Balancer   // by plain service
	budgets         map[string]*retrybudget.Budget // by service
	statements      *advisory.Table
	limits          *limitKeeper
}

func newDeployment(s *Settings, startedAt time.Time, position func() ratelimit.Position, leavingChanged func(source string), versions *versionTable, m *metrics.Registry) *deployment {
	return &deployment{
		settings: s, startedAt: startedAt, position: position, leavingChanged: leavingChanged, versions: versions, metrics: m, registry: fleet.NewRegistry(), targets: map[string]fleet.Target{},
		balancers: map[string]*balance.Balancer{}, budgets: map[string]*retrybudget.Budget{},
		statements: advisory.NewTable(), limits: newLimitKeeper(m),
	}
}

// now returns the time since the start of the daemon, which balancers and retry budgets
// use as their clock.
func (d *deployment) now() time.Duration { return time.Since(d.startedAt) }

// Routes implements gateway.Fleet.
func (d *deployment) Routes() *fleet.RouteTable { return d.routes.Load() }

// unknownOrganisation is the label of organisations that the configuration in force does not have.
const unknownOrganisation = "(unknown)"

// organisationLabel returns the label of an organisation in metrics. Names come from other VMs, too,
// and without a bound on them the number of labels would have none.
func (d *deployment) organisationLabel(name string) string {
	if routes := d.routes.Load(); routes != nil && routes.HasOrganisation(name) {
		return name
	}
	return unknownOrganisation
}

// Limits implements gateway.Fleet.
func (d *deployment) Limits() fleet.Limits {
	if routes := d.routes.Load(); routes != nil {
		return routes.Config.Limits
	}
	return fleet.Limits{}
}

// Outdated implements gateway.Fleet.
func (d *deployment) Outdated() bool { return d.outdated() }

// confirmConfig records that the store, or an owner that reaches it, has told this VM of all
// changes of the configuration.
func (d *deployment) confirmConfig() { d.configConfirmedAt.Store(int64(bootclock.Now())) }

// KeysUnconfirmed implements gateway.Fleet.
func (d *deployment) KeysUnconfirmed() bool {
	limit := d.settings.KeyConfirmation
	if limit == 0 {
		return false
	}
	at := d.configConfirmedAt.Load()
	return at == 0 || bootclock.Now()-time.Duration(at) > limit
}

// setConfig puts a configuration into force unless the one in force has the same or a
// newer version. It reports whether the configuration took effect.
func (d *deployment) setConfig(c *fleet.Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if current := d.routes.Load(); current != nil && current.Config.Version >= c.Version {
		return false
	}
	d.routes.Store(fleet.NewRouteTable(c))
	d.rebuild()
	return true
}

// updateRegistry calls f with the registry of targets, and then rebuilds the state
// derived from the registry.
func (d *deployment) updateRegistry(f func(r *fleet.Registry, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.registry, time.Now())
	d.rebuild()
}

// applyTargets applies the changes of targets that another VM has sent. It reports
// whether they may have changed the targets in use.
func (d *deployment) applyTargets(c fleet.Changes) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Apply(time.Now(), c)
	if !c.Full && len(c.Rows) == 0 {
		return false
	}
	d.targetsListed = d.targetsListed || c.Full
	d.rebuild()
	return true
}

// hasTargetList reports whether the whole list of targets has been received, from the
// store or from another VM.
func (d *deployment) hasTargetList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targetsListed
}

// advanceTargets records that all changes of targets up to a position have been applied.
func (d *deployment) advanceTargets(at objectstore.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.AdvanceTo(at)
}

// countTargets returns the number of targets in use, and of those among them whose
// descriptions are missing from the store.
func (d *deployment) countTargets() (used, missing int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.targets), d.registry.CountMissing(time.Now())
}

// appliedTargetRevision returns the position up to which all changes of targets have been
// applied.
func (d *deployment) appliedTargetRevision() objectstore.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.AsOf()
}

// targetUpdateSince returns the update for a VM that has applied all changes of targets
// up to the given position.
func (d *deployment) targetUpdateSince(at objectstore.Position) fleet.Changes {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.ChangesSince(time.Now(), at)
}

// expireMissingTargets removes the missing targets that have been kept for long enough.
// It reports whether any missing targets were kept at the time of its last call, so that
// the targets in use may have changed.
func (d *deployment) expireMissingTargets() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.registry.RetainsMissing(d.expiryCheckedAt)
	d.expiryCheckedAt = time.Now()
	if kept {
		d.rebuild()
	}
	return kept
}

// rebuild derives the targets in use, their changes and the balancers' targets from the
// registry. The caller holds d.mu.
func (d *deployment) rebuild() {
	before := d.targets
	d.targets = map[string]fleet.Target{}
	byService := map[string][]fleet.Target{}
	listed := d.registry.Targets(time.Now())
	told := map[string]bool{} // targets that are only known to leave because they have said so
	for _, t := range listed {
		if !d.knowsService(t.Service) {
			continue
		}
		if !t.Leaving && d.statements.Leaving(advisory.Incarnation{Target: t.ID, Born: t.Born}) {
			t.Leaving, told[t.ID] = true, true
		}
		d.targets[t.ID] = t
		byService[t.Service] = append(byService[t.Service], t)
	}
	now := d.now()
	for _, c := range diffTargets(before, d.targets) {
		switch source, age := d.statements.Origin(now, c.target.ID); {
		case told[c.target.ID] && c.kind == targetLeaving:
			c.source, c.age = string(source), age
		case before[c.target.ID].Leaving:
			c.age = age
		}
		d.changes = append(d.changes, c)
	}
	d.statements.Retain(now, func(target string) (int64, bool) { t, found := d.targets[target]; return t.Born, found })
	for service := range byService {
		d.balancer(service)
	}
	for service, b := range d.balancers {
		b.SetTargets(byService[service])
	}
}

// knowsService reports whether the configuration in force names a service. Without a
// configuration any service may be named later.
func (d *deployment) knowsService(service string) bool {
	routes := d.routes.Load()
	if routes == nil {
		return true
	}
	if _, found := routes.Config.Services[service]; found {
		return true
	}
	return slices.ContainsFunc(routes.Config.Routes, func(r fleet.Route) bool {
		return slices.ContainsFunc(r.Backends, func(b fleet.Backend) bool { return b.Service == service })
	})
}

// balancer returns the balancer of a service, and creates it if there is none. The
// caller holds d.mu.
func (d *deployment) balancer(service string) *balance.Balancer {
	b := d.balancers[service]
	if b == nil {
		b = balance.New(d.settings.DataCentre, d.settings.Regions)
		d.balancers[service] = b
	}
	return b
}

// takeChanges returns the changes of targets since its last call.
func (d *deployment) takeChanges() []targetChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.changes
	d.changes = nil
	return changes
}

// servicesAndTargets returns the services of the configuration in force, nil if there is
// none, and the targets in use.
func (d *deployment) servicesAndTargets() (map[string]fleet.Service, []fleet.Target) {
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

// usableTarget returns a target. It reports false if the target is unknown, leaves or pauses,
// so that no requests may be sent to it.
func (d *deployment) usableTarget(id string) (fleet.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, found := d.targets[id]
	return t, found && !t.Leaving && d.pausedFor(id, t.Born) == 0
}

// Usable implements gateway.Fleet. It reports true for a target, or a newer incarnation of
// it, of which this VM has not heard, because the owner of the target's group may have
// learned of it earlier.
func (d *deployment) Usable(id string, born int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, found := d.targets[id]; found && t.Born >= born {
		return !t.Leaving
	}
	return !d.statements.Leaving(advisory.Incarnation{Target: id, Born: born})
}

// NewestStart implements gateway.Fleet.
func (d *deployment) NewestStart(target string, born int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(born, d.targets[target].Born)
}

// leavingByService returns the number of targets that leave, by service.
func (d *deployment) leavingByService() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[string]int64{}
	for service := range d.balancers {
		counts[service] = 0
	}
	for _, t := range d.targets {
		if t.Leaving {
			counts[t.Service]++
		}
	}
	return counts
}

// RequiredVersion implements gateway.Fleet.
func (d *deployment) RequiredVersion(a placer.Adapter) int64 { return d.versions.required(a) }

// Pick implements gateway.Fleet.
func (d *deployment) Pick(service string, exclude []string) (fleet.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	target, found := d.balancer(service).Pick(now, append(slices.Clone(exclude), d.unpickable(now)...))
	if found {
		d.statements.TakeFromLimit(now, target.ID)
		d.limits.countSent(target.ID, chosenBy(len(exclude) > 0))
	}
	return target, found
}

// Limited implements gateway.Fleet.
func (d *deployment) Limited(service string, exclude []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.statements.Exhausted(d.now()), func(id string) bool {
		t := d.targets[id]
		return t.Service == service && !t.Leaving && !slices.Contains(exclude, id)
	})
}

// RecordStatement implements gateway.Fleet.
func (d *deployment) RecordStatement(target string, s gateway.TargetStatement) {
	var position ratelimit.Position // of no use without a limit
	if s.RateLimit > 0 {
		position = d.position()
	}
	statement := advisory.Statement{
		Leaving: s.Leaving, Unclear: s.Unclear, Pause: s.Pause, RateLimit: s.RateLimit,
		SentAt: s.SentAt.Sub(d.startedAt), HeardAt: s.HeardAt.Sub(d.startedAt),
	}
	if d.observe(advisory.Incarnation{Target: target, Born: s.Born}, statement, position) {
		d.leavingChanged(sourceAnswer)
	}
	if s.Pause > 0 {
		d.pausesChanged()
	}
}

// IgnoreStatement implements gateway.Fleet.
func (d *deployment) IgnoreStatement(reason string) {
	d.metrics.Count(metrics.EdgeStatementsIgnored, reason)
}

// observe records a statement of an answer. It reports whether the targets in use may have
// changed.
func (d *deployment) observe(i advisory.Incarnation, s advisory.Statement, p ratelimit.Position) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i.Born == 0 {
		i.Born = d.targets[i.Target].Born
	}
	changed := d.statements.Observe(i, s, p)
	if changed {
		d.rebuild()
	}
	return changed
}

// leavingSince returns the targets of which this VM has heard after a version that they
// leave, with own set only from the targets themselves.
func (d *deployment) leavingSince(version uint64, own bool) advisory.Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statements.Since(d.now(), version, own)
}

// mergeLeaving adds the targets that leave according to another VM.
func (d *deployment) mergeLeaving(delta advisory.Delta) {
	if len(delta.Leaving) == 0 {
		return
	}
	d.mu.Lock()
	changed := d.statements.Merge(d.now(), delta)
	if changed {
		d.rebuild()
	}
	d.mu.Unlock()
	if changed {
		d.leavingChanged(sourceOwner)
	}
}

// rateLimits returns the limits that targets have named to this VM.
func (d *deployment) rateLimits() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statements.RateLimits()
}

// countAgainstLimit counts a request that is sent to a target under the grant of an owner.
func (d *deployment) countAgainstLimit(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statements.CountAgainstLimit(d.now(), target)
}

// takeFromLimit reports whether this VM may send a request to a target by its own choice, and
// counts it. repeat tells that another target has had the request before.
func (d *deployment) takeFromLimit(target string, repeat bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := d.statements.TakeFromLimit(d.now(), target)
	if taken {
		d.limits.countSent(target, chosenBy(repeat))
	}
	return taken
}

// ExpectedLatency implements gateway.Fleet.
func (d *deployment) ExpectedLatency(service, target string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer(service).ExpectedLatency(target)
}

// RecordOutcome implements gateway.Fleet.
func (d *deployment) RecordOutcome(service, target string, outcome balance.Outcome, took, connect time.Duration, load *balance.Load) {
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

// budget returns the retry budget of a service, and creates it if there is none. The
// caller holds d.mu.
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

// TakeRetry implements gateway.Fleet.
func (d *deployment) TakeRetry(service string) bool {
	vmCount := d.position().VMs
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budget(service)
	b.SetVMs(vmCount)
	allowed := b.TryRetry(d.now())
	if allowed {
		d.metrics.Count(metrics.EdgeRepeats, "allowed")
	} else {
		d.metrics.Count(metrics.EdgeRepeats, "denied")
	}
	return allowed
}

// ReturnRetry implements gateway.Fleet.
func (d *deployment) ReturnRetry(service string, takenAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(service).Return(d.now(), takenAt.Sub(d.startedAt))
	d.metrics.Count(metrics.EdgeRepeats, "returned")
}
