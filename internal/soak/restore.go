package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/metastore"
)

const (
	// restoringSeeds: the store comes back from older copies in one of so many seeds.
	restoringSeeds = 4
	// minCopyAge and maxCopyAge bound the age of the copies.
	minCopyAge = 500 * time.Millisecond
	maxCopyAge = 10 * time.Second
	// maxRewriteDelay is the longest time after a restore until a writer notices the loss.
	maxRewriteDelay = 3 * time.Second
	// lostConfigs and the number of targets is how many configurations a restore undoes at the
	// end of a run.
	lostConfigs = 20
	// configBound is the time in which a configuration is in force at VMs in touch, and
	// outerBound what is added where the store has been disturbed before.
	configBound = 2500 * time.Millisecond
	outerBound  = 6 * time.Second
)

// restores reports whether the store comes back from older copies in this run.
func (r *run) restores() bool {
	return !r.options.Planned && (r.options.Restores || r.options.Seed%restoringSeeds == 0)
}

var restoreFaults = []fault{{"restore", (*run).restoreStore}}

// restoreStore takes the store away. It comes back from an older copy, and the operator and the
// targets write what was lost again, at once or later and in any order.
func (r *run) restoreStore(rng *rand.Rand) func() {
	end := r.storeTimeline.begin(disrupted)
	r.store.SetFault([]metastore.Fault{metastore.Refuse, metastore.Silent, metastore.Busy}[rng.IntN(3)])
	if rng.IntN(2) == 0 {
		r.store.CutWatches()
	}
	age := minCopyAge + time.Duration(rng.Int64N(int64(maxCopyAge-minCopyAge)))
	return func() {
		r.comeBack(rng, func() { r.store.Restore(age) })
		end()
	}
}

// comeBack ends an absence of the store with an older copy. What was lost is written again.
func (r *run) comeBack(rng *rand.Rand, restore func()) {
	r.mu.Lock()
	restore()
	r.configAt = time.Time{}
	if r.organisations != nil {
		r.organisations.lose()
	}
	writers := []func(){r.rewriteConfig, r.rewriteVersions}
	for _, t := range r.allTargets() {
		writers = append(writers, func() { r.rewriteEntry(t) })
	}
	r.mu.Unlock()
	r.store.SetFault(metastore.None)
	slowest := time.Duration(rng.IntN(2)) * maxRewriteDelay
	for _, write := range writers {
		time.AfterFunc(time.Duration(rng.Int64N(int64(slowest)+1)), write)
	}
}

// loseConfigs makes the store lose configurations that are in force. It has more revisions
// before than after the restore.
func (r *run) loseConfigs() {
	copied := r.store.Snapshot()
	r.mu.Lock()
	for range lostConfigs + len(r.allTargets()) {
		_ = r.configure() // cannot fail on a value of this package
	}
	r.mu.Unlock()
	time.Sleep(configBound)
	defer r.storeTimeline.begin(disrupted)()
	r.comeBack(r.rng, func() { r.store.RestoreTo(copied) })
	time.Sleep(maxRewriteDelay)
}

// rewriteConfig writes the newest configuration again.
func (r *run) rewriteConfig() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.store.Put("config", "main", r.written) // cannot fail on a value of this package
	if r.configAt.IsZero() {
		r.configAt = time.Now()
		if r.organisations != nil {
			r.organisations.acknowledge(r.configAt)
		}
	}
}

// rewriteVersions writes the newest versions of all adapters again.
func (r *run) rewriteVersions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.versions {
		r.writeVersion(name)
	}
}

// rewriteEntry writes the entry of a target again, or removes it if it was removed before.
func (r *run) rewriteEntry(t *engine.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.removed[t.Settings.ID]:
		r.store.Remove("servers", t.Settings.ID)
	case t.EndedAt().IsZero():
		_ = t.Beat() // cannot fail on a value of this package
	}
}

// removeEntry removes the entry of a target for good.
func (r *run) removeEntry(t *engine.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed[t.Settings.ID] = true
	r.store.Remove("servers", t.Settings.ID)
}

// checkConfigs checks that VMs in touch serve the routes of a configuration within the bound
// after the store had acknowledged it, in each era.
func (r *run) checkConfigs() {
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	for _, a := range r.checker.answers {
		if a.kind == kindProbe && a.status == http.StatusNotFound && !a.configAt.IsZero() && r.overdue(a, a.configAt, configBound) {
			r.checker.fail("CONFIG: %s, sent to %s at %s, got 404, %v after the store had acknowledged configuration %d",
				a.id, a.vm.name, a.sent.Format(clock), a.sent.Sub(a.configAt), a.config)
		}
	}
}

// overdue reports whether a configuration had to be in force for a request, by the bound and the
// time at which the store had acknowledged it. Nothing may have disturbed the VM or the store since
// then.
func (r *run) overdue(a answer, acknowledged time.Time, bound time.Duration) bool {
	if len(r.storeTimeline.between(acknowledged.Add(-stabilityWindow), acknowledged)) > 0 {
		bound += outerBound
	}
	return a.sent.Sub(acknowledged) > bound &&
		len(a.vm.timeline.between(acknowledged.Add(-stabilityWindow), a.done)) == 0 && len(r.storeTimeline.between(acknowledged, a.done)) == 0
}

// checkNewConfig writes a configuration to the stable store, after a restore in some runs, and
// checks that all VMs serve its route within the bound.
func (r *run) checkNewConfig() {
	if r.restores() {
		r.loseConfigs()
	}
	time.Sleep(stabilityWindow)
	r.mu.Lock()
	_ = r.configure() // cannot fail on a value of this package
	end := r.configAt.Add(configBound)
	r.mu.Unlock()
	var wait sync.WaitGroup
	for _, v := range r.vms {
		wait.Go(func() { r.awaitKind(v, kindProbe, 0, end) })
	}
	wait.Wait()
}

// checkOwners checks that no epoch has two owners.
func (r *run) checkOwners() {
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	owners := map[int64]string{}
	for _, t := range r.allTargets() {
		for _, o := range t.ReceivedOrders() {
			if owner, found := owners[o.Token]; found && owner != o.Holder {
				r.checker.fail("ONE: %s got an order of %s at %s with epoch %d of %s", t.Settings.ID, o.Holder, o.At.Format(clock), o.Token, owner)
				return
			}
			owners[o.Token] = o.Holder
		}
	}
}
