package edge

import (
	"sync"
	"time"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/metrics"
)

// restoreTracker tracks how this VM follows a store that was restored from a copy.
type restoreTracker struct {
	mu     sync.Mutex
	era    int64     // newest era of the store that this VM has heard of
	known  bool      // there is one
	since  time.Time // when this VM heard of it
	behind bool      // not everything that this VM follows is of the newest era
}

// enter records an era of which this VM has heard. It reports whether the store was restored.
func (t *restoreTracker) enter(era int64) (before int64, restored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.era
	if !t.known {
		t.era, t.known = era, true
		return before, false
	}
	if era <= before {
		return before, false
	}
	t.era = era
	t.since, t.behind = time.Now(), true
	return before, true
}

// caughtUp reports how long it took until everything that this VM follows was of the newest
// era. It returns false until then and after it has returned true once.
func (t *restoreTracker) caughtUp(era int64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.behind || era < t.era {
		return 0, false
	}
	t.behind = false
	return time.Since(t.since), true
}

// storeRestored handles an answer of the store that shows that it was restored.
func (d *Daemon) storeRestored(from, to int64) {
	d.restores.enter(from)
	d.enterEra(to, sourceStore)
}

// enterEra handles an era of the store of which this VM has heard from a source, the value of
// fieldSource. If it is new, the store was restored: all watches are repeated, because what
// they have read is no longer the store's state.
func (d *Daemon) enterEra(era int64, source string) {
	before, restored := d.restores.enter(era)
	if !restored {
		return
	}
	d.groups.EnterEra(era)
	d.metrics.Add(metrics.EdgeStoreRestores, 1)
	known := d.appliedRevisions()
	d.log.Warn().Str(fieldEvent, "store_restored").Int64(fieldEraBefore, before).Int64(fieldEra, era).Str(fieldSource, source).
		Int64(fieldRevision, max(known.Config, known.Targets, known.Versions).Revision()).Uint64(fieldConfig, known.ConfigVersion).Send()
	d.retryWatches()
}

// checkCaughtUp logs once after each restore of the store that this VM has caught up.
func (d *Daemon) checkCaughtUp() {
	known := d.appliedRevisions()
	oldest := min(known.Config, known.Targets, known.Versions)
	took, done := d.restores.caughtUp(oldest.Era())
	if !done {
		return
	}
	d.metrics.Observe(metrics.EdgeStoreCatchUp, took)
	listed, missing := d.deployment.countTargets()
	d.log.Info().Str(fieldEvent, "store_caught_up").Int64(fieldEra, oldest.Era()).Int64(fieldRevision, oldest.Revision()).
		Uint64(fieldConfig, known.ConfigVersion).Int(fieldCount, listed).Int(fieldMissing, missing).Dur(fieldTook, took).Send()
}

// newestEra returns the newest era of which an update tells. It reports false for one that tells
// of none.
func newestEra(n *grouprpc.DeploymentUpdate) (int64, bool) {
	newest := max(n.Config.AsOf, n.Targets.AsOf, n.Versions.AsOf)
	return newest.Era(), newest > 0
}
