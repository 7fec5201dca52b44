package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/kindwatch"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
)

const (
	// maxWatchWait is the longest time that one watch call waits at the store. Probes of
	// the connection detect a dead connection earlier, but not a store that does not
	// answer.
	maxWatchWait = 4 * time.Second
	// maxTargetWatchWait is the longest wait for changes of targets. A store that was silent for
	// a short time leaves the watch without an answer, and the removal of a target must be applied
	// within Settings.TargetDrainTime nevertheless.
	maxTargetWatchWait = time.Second
	// maxGroupWatchWait is the longest wait for changes of the groups. It is longer than
	// maxWatchWait because VMs also send these changes to each other.
	maxGroupWatchWait = 25 * time.Second
	// Pauses between a change and the next watch, so that many changes cost few calls.
	configWatchPause  = 200 * time.Millisecond
	versionWatchPause = 300 * time.Millisecond
	groupWatchPause   = 200 * time.Millisecond
	// relayMargin is the part of Settings.TargetDrainTime that is reserved for passing
	// the change of a leaving target on to the other VMs.
	relayMargin = 300 * time.Millisecond
	// unreachableAfter is the time for which calls to the store must have failed before
	// this VM reports that it cannot reach the store.
	unreachableAfter = 700 * time.Millisecond
)

// ObjectKinds describes the objects in the store that are written by other programs, and
// decodes them.
type ObjectKinds struct {
	Config        string // kind of the configuration
	MainConfigKey string // key of the configuration
	Targets       string // kind of the descriptions of targets
	Versions      string // kind of the announced versions of adapters

	DecodeConfig func(value []byte) (*fleet.Config, error)
	DecodeTarget func(id string, value []byte) (fleet.Target, error)
	// DecodeVersion returns an adapter and its announced version.
	DecodeVersion func(name string, value []byte) (placer.Adapter, int64, error)
}

// storeHealth tracks whether calls to the store fail.
type storeHealth struct {
	mu        sync.Mutex
	failing   bool
	changedAt time.Time // when failing last changed
	onChange  func(healthy bool, err error)
}

// record records the result of a call, and calls onChange if calls have begun to fail or
// to succeed again. The errors HistoryGone, Conflict and NotFound count as success, because
// the store has answered the call.
func (h *storeHealth) record(err error) {
	healthy := err == nil || errs.Is(err, errs.HistoryGone) || errs.Is(err, errs.Conflict) || errs.Is(err, errs.NotFound)
	h.mu.Lock()
	changed := h.failing == healthy
	if changed {
		h.failing, h.changedAt = !healthy, time.Now()
	}
	h.mu.Unlock()
	if changed {
		h.onChange(healthy, err)
	}
}

// healthy reports whether the last call to the store succeeded.
func (h *storeHealth) healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failing
}

// unreachable reports whether calls to the store have failed for longer than
// unreachableAfter.
func (h *storeHealth) unreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing && time.Since(h.changedAt) > unreachableAfter
}

// startWatches starts following the kinds of objects in the store. The followers run
// until ctx ends.
func (d *Daemon) startWatches(ctx context.Context) {
	follow := func(kind string, pause time.Duration, handler kindwatch.Handler) {
		f := &kindwatch.Follower{Store: d.store, Kind: kind, Handler: handler, WatchTimeout: maxWatchWait, PauseAfterChanges: pause}
		switch kind {
		case groupserver.Kind:
			f.WatchTimeout = maxGroupWatchWait
		case d.kinds.Targets:
			f.WatchTimeout = maxTargetWatchWait
			fallthrough
		default:
			f.Active, f.InitialWait = d.followsStore, d.settings.initialListWait()
		}
		d.followers[kind] = f
	}
	defer func() {
		for _, f := range d.followers {
			d.runInBackground(ctx, "watch", f.Run)
		}
	}()
	follow(d.kinds.Config, configWatchPause, d.newObjectHandler(d.kinds.Config, d.handleConfigObject, d.handleConfigObject, d.config.advance))
	targets := &targetHandler{d: d}
	follow(d.kinds.Targets, d.settings.TargetDrainTime/2-relayMargin, targets)
	targets.callBegan = d.followers[d.kinds.Targets].CallBegan
	follow(d.kinds.Versions, versionWatchPause, d.newObjectHandler(d.kinds.Versions, d.handleVersionObject, d.handleListedVersionObject, d.versions.advance))
	follow(groupserver.Kind, groupWatchPause, &groupHandler{d})
	d.followers[d.kinds.Config].Known = d.config.appliedRevision
	d.followers[d.kinds.Targets].Known = d.deployment.appliedTargetRevision
	d.followers[d.kinds.Versions].Known = d.versions.appliedRevision
}

// newObjectHandler returns a handler of a kind that applies each changed or listed object by itself.
func (d *Daemon) newObjectHandler(kind string, apply, applyListed func(objectstore.Object), advance func(since, asOf objectstore.Position)) kindwatch.Handler {
	contained := func(apply func(objectstore.Object)) func(objectstore.Object) {
		return func(o objectstore.Object) {
			var failure error // contain reports it
			defer d.contain("object", &failure)
			apply(o)
		}
	}
	return &objectHandler{
		apply: contained(apply), applyListed: contained(applyListed), advance: advance, recordStoreCall: func(err error) { d.recordStoreCall(kind, err) },
		ignore: func(o objectstore.Object) { d.ignoreObject("entry_ignored", o, o.Invalid) },
	}
}

// newestRevisions returns the newest position of an object that this VM has seen of each
// kind.
func (d *Daemon) newestRevisions() map[string]objectstore.Position {
	newestRevisions := make(map[string]objectstore.Position, len(d.followers))
	for kind, f := range d.followers {
		newestRevisions[kind] = f.Newest()
	}
	return newestRevisions
}

// compareNewestRevisions passes the newest positions that another VM has seen to the
// followers, which repeat their watches if they have been behind for too long. It does
// nothing while this VM does not follow the store.
func (d *Daemon) compareNewestRevisions(newestRevisions map[string]objectstore.Position) {
	if !d.followsStore() {
		return
	}
	for kind, at := range newestRevisions {
		if f := d.followers[kind]; f != nil {
			f.HandlePeerPosition(at)
		}
	}
}

// retryWatches repeats all watches, because a connection that has gone silent is
// seldom the only one.
func (d *Daemon) retryWatches() {
	for _, f := range d.followers {
		f.RestartWatch()
	}
}

// recordStoreCall records the result of a call to the store for objects of a kind.
func (d *Daemon) recordStoreCall(kind string, err error) {
	d.metrics.Count(metrics.EdgeStoreCalls, kind+" "+metrics.Label(err))
	d.health.record(err)
	if kind == d.kinds.Config && err == nil {
		d.deployment.confirmConfig()
	}
	d.checkCaughtUp()
}

// objectHandler applies each object of a kind by itself and ignores removals. What is known
// of an object stays in force when its entry becomes invalid. It implements
// kindwatch.Handler.
type objectHandler struct {
	apply           func(objectstore.Object)
	applyListed     func(objectstore.Object)
	advance         func(since, asOf objectstore.Position) // records that all changes between two positions have been applied
	ignore          func(objectstore.Object)
	recordStoreCall func(error) // records the result of a call to the store
}

// Replace implements kindwatch.Handler.
func (h *objectHandler) Replace(objects []objectstore.Object, at objectstore.Position) {
	for _, o := range objects {
		h.applyOne(o, h.applyListed)
	}
	h.advance(0, at)
}

// Change implements kindwatch.Handler.
func (h *objectHandler) Change(changes []objectstore.Change, at objectstore.Position) {
	for _, c := range changes {
		if !c.Deleted {
			h.applyOne(c.Object, h.apply)
		}
	}
	h.advance(0, at)
}

func (h *objectHandler) applyOne(o objectstore.Object, apply func(objectstore.Object)) {
	if o.Invalid != nil {
		h.ignore(o)
		return
	}
	apply(o)
}

// StoreCalled implements kindwatch.Handler.
func (h *objectHandler) StoreCalled(err error) { h.recordStoreCall(err) }

// handleConfigObject applies the object if it is the configuration.
func (d *Daemon) handleConfigObject(o objectstore.Object) {
	if o.Key == d.kinds.MainConfigKey {
		d.applyConfig(o.Value, o.Position(), sourceStore)
	}
}

// applyConfig puts a configuration into force unless it is invalid or not newer than the
// one in force. source is the value of fieldSource.
func (d *Daemon) applyConfig(value []byte, at objectstore.Position, source string) {
	c, err := d.kinds.DecodeConfig(value)
	if err != nil {
		d.ignoreEntry("config_rejected", d.kinds.Config, d.kinds.MainConfigKey, at, err)
		return
	}
	for _, part := range c.Ignored {
		d.ignoreEntry("config_part_ignored", d.kinds.Config, d.kinds.MainConfigKey, at, part)
	}
	d.config.set(value, c.Version, at)
	if !d.deployment.setConfig(c) {
		return
	}
	d.log.Info().Str(fieldEvent, "config_in_force").Uint64(fieldConfig, c.Version).Str(fieldSource, source).
		Int(fieldCount, len(c.Routes)).Send()
	d.quotas.configChanged()
	d.publishFleet(source)
}

// targetHandler applies the descriptions of targets. It implements kindwatch.Handler.
type targetHandler struct {
	d         *Daemon
	callBegan func() time.Time // returns when the last call to the store began
	failing   bool             // the last call to the store failed
}

// Replace implements kindwatch.Handler.
func (h *targetHandler) Replace(objects []objectstore.Object, at objectstore.Position) {
	var targets []fleet.StoredTarget
	var invalid []string
	for _, o := range objects {
		if t, ok := h.decode(o); ok {
			targets = append(targets, t)
		} else {
			invalid = append(invalid, objectName(o.Key))
		}
	}
	h.d.deployment.updateRegistry(func(r *fleet.Registry, now time.Time) {
		r.Replace(now, targets, at)
		for _, id := range invalid {
			r.Withdraw(now, id, at)
		}
		h.d.deployment.targetsListed = true
	})
	h.d.publishFleet(sourceStore)
}

// Change implements kindwatch.Handler.
func (h *targetHandler) Change(changes []objectstore.Change, at objectstore.Position) {
	if len(changes) == 0 {
		h.d.deployment.advanceTargets(at)
		return
	}
	last := make(map[string]int, len(changes)) // index of the last change, by key
	for i := range changes {
		last[changes[i].Object.Key] = i
	}
	h.d.deployment.updateRegistry(func(r *fleet.Registry, now time.Time) {
		for i, c := range changes {
			var target fleet.StoredTarget
			usable := false
			if !c.Deleted {
				target, usable = h.decode(c.Object)
			}
			switch {
			case usable:
				r.Put(now, target)
			case last[c.Object.Key] > i: // at counts for the state after all changes
			case c.Deleted:
				r.Remove(now, objectName(c.Object.Key), at)
			default:
				r.Withdraw(now, objectName(c.Object.Key), at)
			}
		}
		r.AdvanceTo(at)
	})
	h.d.publishFleet(sourceStore)
}

// decode decodes the description of a target. It returns false for one that can't be used,
// also if its decoder panics.
func (h *targetHandler) decode(o objectstore.Object) (t fleet.StoredTarget, ok bool) {
	var err error
	defer func() {
		if err != nil {
			h.d.ignoreObject("target_ignored", o, err)
			t, ok = fleet.StoredTarget{}, false
		}
	}()
	defer h.d.contain("target", &err)
	if o.Invalid != nil {
		err = o.Invalid
		return t, false
	}
	t.Revision = o.Position()
	t.Target, err = h.d.kinds.DecodeTarget(objectName(o.Key), o.Value)
	if err == nil && !h.d.deployment.knowsService(t.Target.Service) { // a later configuration may name it
		h.d.ignoreObject("target_ignored", o, errs.New(errs.InvalidMessage, "no service of the configuration has the name "+t.Target.Service))
	}
	return t, err == nil
}

// StoreCalled implements kindwatch.Handler.
func (h *targetHandler) StoreCalled(err error) {
	h.d.recordStoreCall(h.d.kinds.Targets, err)
	failing := err != nil && !errs.Is(err, errs.HistoryGone)
	if failing || h.failing {
		h.failing = failing
		began := h.callBegan()
		h.d.deployment.updateRegistry(func(r *fleet.Registry, now time.Time) { r.StoreCalled(now, began, failing) })
	}
}

// objectName returns the name of an object: its key without the kind.
func objectName(key string) string {
	_, name := splitKey(key)
	return name
}

func splitKey(key string) (kind, name string) {
	kind, name, _ = strings.Cut(key, "/")
	return kind, name
}

// handleVersionObject applies a version of an adapter that is announced now.
func (d *Daemon) handleVersionObject(o objectstore.Object) { d.applyVersionObject(o, 0) }

// handleListedVersionObject applies a version of an adapter that was announced at any time since
// all announcements were last known.
func (d *Daemon) handleListedVersionObject(o objectstore.Object) {
	d.applyVersionObject(o, d.versions.sinceChecked())
}

func (d *Daemon) applyVersionObject(o objectstore.Object, age time.Duration) {
	a, version, err := d.kinds.DecodeVersion(objectName(o.Key), o.Value)
	if err != nil {
		d.ignoreObject("version_ignored", o, err)
		return
	}
	d.setVersion(grouprpc.AdapterVersion{Adapter: a, Version: version, Revision: o.Position()}, age)
}

// setVersion records a version of an adapter that was announced some time ago. A version newer than the one
// recorded before is logged and passed to the group manager.
func (d *Daemon) setVersion(v grouprpc.AdapterVersion, age time.Duration) {
	if !d.versions.set(v, age) {
		return
	}
	d.log.Info().Str(fieldEvent, "adapter_version").Str(fieldAdapter, v.Adapter.Name).Int64(fieldVersion, v.Version).Send()
	d.groups.SetVersion(v.Adapter, v.Version, age)
}

// groupHandler passes the records of groups to the group manager. It implements
// kindwatch.Handler.
type groupHandler struct{ d *Daemon }

// Replace implements kindwatch.Handler.
func (h *groupHandler) Replace(objects []objectstore.Object, at objectstore.Position) {
	for _, o := range objects {
		h.ignoreInvalid(o)
	}
	others := slices.DeleteFunc(objects, h.d.quarantine.takeObject)
	if len(others) == len(objects) {
		h.d.quarantine.handleAbsence(at)
	}
	h.d.groups.Replace(others, at)
}

// Change implements kindwatch.Handler.
func (h *groupHandler) Change(changes []objectstore.Change, at objectstore.Position) {
	for _, c := range changes {
		h.ignoreInvalid(c.Object)
	}
	h.d.groups.Change(slices.DeleteFunc(changes, h.d.quarantine.takeChange), at)
}

func (h *groupHandler) ignoreInvalid(o objectstore.Object) {
	if o.Invalid != nil {
		h.d.ignoreObject("entry_ignored", o, o.Invalid)
	}
}

// StoreCalled implements kindwatch.Handler.
func (h *groupHandler) StoreCalled(err error) { h.d.recordStoreCall(groupserver.Kind, err) }
