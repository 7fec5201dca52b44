package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/bootclock"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/quota"
)

const (
	// quotaInterval is the time between two checks whether coordinators are to be called. Requests
	// that wait for credit do not wait for the check.
	quotaInterval = 20 * time.Millisecond
	// quotaPlaceInterval is the time between two updates of the coordinators.
	quotaPlaceInterval = 60 * time.Millisecond
	// quotaLogInterval is the time between two checks for limits to log.
	quotaLogInterval = 250 * time.Millisecond
	// assumedVMs is the number of VMs that a VM assumes until it hears of others, for at most
	// assumedVMsTime after its start. Assuming too few would let each use too much before it reports.
	assumedVMs     = 350
	assumedVMsTime = 10 * time.Second
)

// Labels of metrics.EdgeQuota, after the name of the organisation.
const (
	quotaAdmitted = " admitted"
	quotaDelayed  = " delayed"
	quotaRejected = " rejected"
)

// quotaKeeper keeps the usage of organisations within their limits. It implements
// groupserver.Quota. While no organisation has a limit, it does nothing.
type quotaKeeper struct {
	d      *Daemon
	active atomic.Bool   // an organisation has a limit
	wake   chan struct{} // wakes run when active is set

	mu        sync.Mutex
	holder    *quota.Holder
	limits    map[string]quota.Limit
	waiting   map[*quota.Waiter]chan struct{} // closed when a request is admitted
	addresses map[quota.Source]string         // of the coordinators, empty for this VM
	placedAt  time.Duration                   // when the coordinators were last updated, 0 to update them at once
	vms       quota.VMCount
	binding   map[string]bool // organisations whose limit was logged as binding
}

func newQuotaKeeper(d *Daemon) *quotaKeeper {
	return &quotaKeeper{
		d: d, wake: make(chan struct{}, 1), holder: quota.NewHolder(d.settings.VM, d.settings.Quota),
		waiting: map[*quota.Waiter]chan struct{}{}, addresses: map[quota.Source]string{}, binding: map[string]bool{},
	}
}

// configChanged sets the limits of the configuration in force.
func (k *quotaKeeper) configChanged() {
	k.mu.Lock()
	defer k.mu.Unlock()
	organisations := k.d.deployment.Routes().Config.Organisations
	limits := map[string]quota.Limit{}
	for i := range organisations {
		if o := &organisations[i]; o.Quota.PerSecond > 0 {
			limits[o.Name] = quota.Limit{PerSecond: o.Quota.PerSecond, Burst: o.Quota.Burst}
		}
	}
	if len(limits) == 0 && !k.active.Load() {
		return
	}
	k.d.groups.SetQuotas(limits)
	k.limits, k.placedAt = limits, 0
	k.admit(k.holder.SetLimits(bootclock.Now(), limits))
	k.active.Store(len(limits) > 0)
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run calls the coordinators until ctx ends.
func (k *quotaKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	var loggedAt time.Duration
	for {
		if !k.active.Load() {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return
			case <-k.wake:
			}
			ticker.Reset(quotaInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		k.step()
		if now := bootclock.Now(); now-loggedAt >= quotaLogInterval {
			loggedAt = now
			k.logStates()
		}
	}
}

// step admits requests for which there is credit, and starts the calls that are due.
func (k *quotaKeeper) step() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := bootclock.Now()
	if k.placedAt == 0 || now-k.placedAt >= quotaPlaceInterval {
		k.placedAt = now
		k.updatePlace()
	}
	k.admit(k.holder.Tick(now))
	k.startCalls(now)
}

// startCalls starts the calls that are due. The caller holds the lock.
func (k *quotaKeeper) startCalls(now time.Duration) {
	for _, source := range k.holder.Due(now) {
		call := k.holder.BeginCall(now, source)
		go k.call(source, k.addresses[source], call, now)
	}
}

// call calls a coordinator and applies its reply.
func (k *quotaKeeper) call(source quota.Source, address string, call quota.Call, beganAt time.Duration) {
	var failure error // contain reports it
	defer k.d.contain("quota_reply", &failure)
	request := grouprpc.QuotaRequest{Group: source.Group, Epoch: source.Epoch, Call: call}
	var reply grouprpc.QuotaReply
	ended := false
	defer func() { // after a panic, or the coordinator would not be called again
		if !ended {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.holder.EndCall(bootclock.Now(), source, call, beganAt, nil)
		}
	}()
	if address == "" {
		reply = k.d.groups.Quota(request)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), quota.CallTimeout)
		defer cancel()
		reply.NotOwner = k.d.peerClient.Call(ctx, address, grouprpc.QuotaMethod, request, &reply) != nil || reply.NotOwner
	}
	ended = true
	k.mu.Lock()
	defer k.mu.Unlock()
	answered, label := &reply.Reply, "answered"
	if reply.NotOwner {
		answered, label = nil, "failed"
	}
	k.d.metrics.Count(metrics.EdgeQuotaCalls, label)
	now := bootclock.Now()
	k.holder.EndCall(now, source, call, beganAt, answered)
	k.admit(k.holder.Tick(now))
}

// updatePlace updates the coordinators and this VM's part in the deployment. The caller holds the
// lock.
func (k *quotaKeeper) updatePlace() {
	place := quota.Place{VMs: k.vms.Observe(bootclock.Now(), k.d.placement.VMs(), k.d.placement.HearsAllOwners())}
	if place.VMs <= 1 && time.Since(k.d.startedAt) < assumedVMsTime {
		place.VMs = assumedVMs
	}
	var groups []groupserver.Status
	for _, s := range k.d.groups.Status() {
		if !s.Exists || !s.HasTargets {
			continue
		}
		groups = append(groups, s)
		place.AllGroups++
		switch {
		case s.FormerOwnerAtWork:
			place.Unconfirmed++
		case s.Owned:
			place.Groups++
		}
	}
	sources := make(map[string]quota.Source, len(k.limits))
	clear(k.addresses)
	for organisation := range k.limits {
		if s := coordinatorOf(organisation, groups); s != nil {
			source := quota.Source{Group: s.Name, Epoch: s.Record.Epoch}
			sources[organisation] = source
			k.addresses[source] = s.Record.Address
			if s.Owned {
				k.addresses[source] = ""
			}
		}
	}
	k.holder.SetPlace(place, sources)
}

// coordinatorOf returns the group whose owner is the coordinator of an organisation, by rendezvous
// hashing, nil if there is no group.
func coordinatorOf(organisation string, groups []groupserver.Status) *groupserver.Status {
	var best *groupserver.Status
	var bestHash uint64
	for i := range groups {
		if hash := xxhash.Sum64String(organisation + "\x00" + groups[i].Name); best == nil || hash > bestHash {
			best, bestHash = &groups[i], hash
		}
	}
	return best
}

// admit ends the waits of requests that are admitted. The caller holds the lock.
func (k *quotaKeeper) admit(waiters []*quota.Waiter) {
	for _, w := range waiters {
		if admitted := k.waiting[w]; admitted != nil {
			close(admitted)
			delete(k.waiting, w)
		}
	}
}

// count counts a request, waits for credit if that is necessary, or refuses the request.
func (k *quotaKeeper) count(ctx context.Context, organisation string, cost int, own bool) *errs.Error {
	if !k.active.Load() {
		return nil
	}
	k.mu.Lock()
	v, admitted := k.begin(k.holder.Admit(bootclock.Now(), organisation, float64(cost), own))
	k.mu.Unlock()
	if v.Wait != nil {
		k.d.metrics.Count(metrics.EdgeQuota, k.d.deployment.organisationLabel(organisation)+quotaDelayed)
		v = k.await(ctx, v.Wait, admitted)
	}
	if v.Admitted {
		k.d.metrics.Count(metrics.EdgeQuota, k.d.deployment.organisationLabel(organisation)+quotaAdmitted)
		return nil
	}
	k.d.metrics.Count(metrics.EdgeQuota, k.d.deployment.organisationLabel(organisation)+quotaRejected)
	return overQuota(organisation, v)
}

// begin registers the wait that a verdict asks for, and calls the coordinator for it. The caller
// holds the lock.
func (k *quotaKeeper) begin(v quota.Verdict) (quota.Verdict, <-chan struct{}) {
	if v.Wait == nil {
		return v, nil
	}
	admitted := make(chan struct{})
	k.waiting[v.Wait] = admitted
	k.startCalls(bootclock.Now())
	return v, admitted
}

// overQuota returns the refusal of a request.
func overQuota(organisation string, v quota.Verdict) *errs.Error {
	// Callers that are refused together must not return together.
	retry := v.Retry + time.Duration(rand.Int64N(int64(v.Retry)+1))
	return errs.NotRun(errs.QuotaExceeded, "the quota of organisation "+organisation+" is used up").WithRetry(retry)
}

// await waits until a request is admitted, at most for quota.MaxWait.
func (k *quotaKeeper) await(ctx context.Context, w *quota.Waiter, admitted <-chan struct{}) quota.Verdict {
	timer := time.NewTimer(quota.MaxWait)
	defer timer.Stop()
	select {
	case <-admitted:
		return quota.Verdict{Admitted: true}
	case <-timer.C:
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waiting[w] == nil {
		return quota.Verdict{Admitted: true}
	}
	delete(k.waiting, w)
	return k.holder.GiveUp(bootclock.Now(), w)
}

// repeat counts a further attempt at a request that may have run, or refuses it. The metrics count
// requests, so the attempt does not count again.
func (k *quotaKeeper) repeat(ctx context.Context, organisation string, cost int) *errs.Error {
	if !k.active.Load() {
		return nil
	}
	k.mu.Lock()
	v, admitted := k.begin(k.holder.Repeat(bootclock.Now(), organisation, float64(cost)))
	k.mu.Unlock()
	if v.Wait != nil {
		v = k.await(ctx, v.Wait, admitted)
	}
	if v.Admitted {
		return nil
	}
	return overQuota(organisation, v)
}

func (k *quotaKeeper) refund(organisation string, cost int, queued bool) {
	if !k.active.Load() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if queued {
		k.holder.Begin(organisation, float64(cost))
	}
	k.holder.Refund(bootclock.Now(), organisation, float64(cost))
}

// scarce reports whether credit of an organisation is short now, as far as this VM knows.
func (k *quotaKeeper) scarce(organisation string) bool {
	if !k.active.Load() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Scarce(bootclock.Now(), organisation)
}

// Admit implements groupserver.Quota. A hedge is refused while credit is short: owners hold the credit
// for requests to engines, so the VM that hedges may not know of it.
func (k *quotaKeeper) Admit(ctx context.Context, r *placer.Request) *errs.Error {
	if r.Hedge && k.scarce(r.Organisation) {
		return errs.NotRun(errs.QuotaExceeded, "the quota of organisation "+r.Organisation+" leaves no second attempt")
	}
	var failure *errs.Error
	if r.QuotaRepeat {
		failure = k.repeat(ctx, r.Organisation, r.QuotaCost)
	} else {
		failure = k.count(ctx, r.Organisation, r.QuotaCost, false)
	}
	if failure != nil {
		return failure
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder.Queue(r.Organisation, float64(r.QuotaCost))
	return nil
}

// Begin implements groupserver.Quota.
func (k *quotaKeeper) Begin(r *placer.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder.Begin(r.Organisation, float64(r.QuotaCost))
}

// Refund implements groupserver.Quota.
func (k *quotaKeeper) Refund(r *placer.Request) { k.refund(r.Organisation, r.QuotaCost, true) }

// countOwn counts a request to an engine that this VM chose without an owner.
func (k *quotaKeeper) countOwn(ctx context.Context, r *placer.Request) *errs.Error {
	if r.QuotaRepeat {
		return k.repeat(ctx, r.Organisation, r.QuotaCost)
	}
	return k.count(ctx, r.Organisation, r.QuotaCost, true)
}

// gatewayQuota implements gateway.Quota.
type gatewayQuota struct{ keeper *quotaKeeper }

// Admit implements gateway.Quota.
func (q gatewayQuota) Admit(ctx context.Context, organisation string, cost int, repeat bool) *errs.Error {
	if repeat {
		return q.keeper.repeat(ctx, organisation, cost)
	}
	return q.keeper.count(ctx, organisation, cost, true)
}

// Refund implements gateway.Quota.
func (q gatewayQuota) Refund(organisation string, cost int) {
	q.keeper.refund(organisation, cost, false)
}

// logStates logs when the limits begin and cease to hold requests up, as far as this VM is their
// coordinator.
func (k *quotaKeeper) logStates() {
	states := k.d.groups.QuotaStates()
	k.mu.Lock()
	defer k.mu.Unlock()
	for organisation := range k.binding {
		if _, found := states[organisation]; !found {
			states[organisation] = quota.State{}
		}
	}
	for organisation, s := range states {
		if s.Binding == k.binding[organisation] {
			continue
		}
		event := "quota_binding"
		if k.binding[organisation] = s.Binding; !s.Binding {
			event = "quota_released"
			delete(k.binding, organisation)
		}
		k.d.log.Info().Str(fieldEvent, event).Str(fieldOrganisation, organisation).Float64(fieldLimit, s.Limit.PerSecond).
			Float64(fieldBurst, s.Limit.Burst).Float64(fieldDemand, s.Demand).Float64(fieldShare, s.Share).Send()
	}
}
