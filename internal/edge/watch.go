package edge

import (
	"context"
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
	// watchWait is the longest wait of one watch call. Probes of the connection
	// show earlier that it is dead, but not that the store is silent.
	watchWait = 4 * time.Second
	// groupWait is the same for the groups, whose changes VMs also tell each other.
	groupWait = 10 * time.Second
	// Pauses after news, so that many changes cost few calls.
	configPause  = 200 * time.Millisecond
	versionPause = 300 * time.Millisecond
	groupPause   = 200 * time.Millisecond
	// relayTime is the part of the time for leaving targets that is left for telling
	// the other VMs.
	relayTime = 300 * time.Millisecond
	// blindAfter is the time without success after which this VM says that it
	// cannot reach the store.
	blindAfter = 700 * time.Millisecond
)

// Kinds names the objects that others write, and decodes them.
type Kinds struct {
	Config   string // kind of the configuration
	Main     string // key of the configuration
	Targets  string
	Versions string

	DecodeConfig  func(value []byte) (*fleet.Config, error)
	DecodeTarget  func(id string, value []byte) (fleet.Target, error)
	DecodeVersion func(value []byte) (placer.Adapter, int64, error)
}

// storeHealth keeps when calls to the store failed.
type storeHealth struct {
	mu      sync.Mutex
	failing bool
	since   time.Time
	changed func(fine bool, err error)
}

func (h *storeHealth) note(err error) {
	fine := err == nil || errs.Is(err, errs.HistoryGone) || errs.Is(err, errs.Conflict) || errs.Is(err, errs.NotFound)
	h.mu.Lock()
	changed := h.failing == fine
	if changed {
		h.failing, h.since = !fine, time.Now()
	}
	h.mu.Unlock()
	if changed {
		h.changed(fine, err)
	}
}

func (h *storeHealth) fine() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failing
}

func (h *storeHealth) blind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing && time.Since(h.since) > blindAfter
}

// startWatches follows the store's kinds until ctx ends.
func (d *Daemon) startWatches(ctx context.Context) {
	follow := func(kind string, pause time.Duration, handler kindwatch.Handler) {
		f := &kindwatch.Follower{Store: d.store, Kind: kind, Handler: handler, Wait: watchWait, Pause: pause}
		if kind == groupserver.Kind {
			f.Wait = groupWait
		} else {
			f.Active = d.followsStore
		}
		d.followers[kind] = f
	}
	defer func() {
		for _, f := range d.followers {
			d.goRun(func() { f.Run(ctx) })
		}
	}()
	follow(d.kinds.Config, configPause, d.each(d.kinds.Config, d.enterConfig, d.config.reached))
	follow(d.kinds.Targets, d.settings.TargetDrain/2-relayTime, &targetHandler{d: d})
	follow(d.kinds.Versions, versionPause, d.each(d.kinds.Versions, d.enterVersion, d.versions.reached))
	follow(groupserver.Kind, groupPause, &groupHandler{d})
	d.followers[d.kinds.Config].Known = d.config.known
	d.followers[d.kinds.Targets].Known = d.deployment.knownTargets
	d.followers[d.kinds.Versions].Known = d.versions.known
}

// each returns a handler of a kind whose objects are entered one by one.
func (d *Daemon) each(kind string, enter func(objectstore.Object), known func(since, asOf int64)) kindwatch.Handler {
	return &eachObject{enter: enter, known: known, reached: func(err error) { d.reached(kind, err) }}
}

// seen returns the newest revision of each kind that this VM has seen.
func (d *Daemon) seen() map[string]int64 {
	seen := make(map[string]int64, len(d.followers))
	for kind, f := range d.followers {
		seen[kind] = f.Newest()
	}
	return seen
}

// othersSaw enters what another VM has seen.
func (d *Daemon) othersSaw(seen map[string]int64) {
	if !d.followsStore() {
		return
	}
	for kind, revision := range seen {
		if f := d.followers[kind]; f != nil {
			f.Behind(revision)
		}
	}
}

// storeTrouble makes all watches be repeated, because a connection that went
// silent seldom is the only one.
func (d *Daemon) storeTrouble() {
	for _, f := range d.followers {
		f.Retry()
	}
}

// reached enters the result of a call to the store.
func (d *Daemon) reached(kind string, err error) {
	d.metrics.Count(metrics.EdgeStoreCalls, kind+" "+metrics.Label(err))
	d.health.note(err)
}

// eachObject hands objects of one kind over one by one. Their removal means nothing.
// It implements kindwatch.Handler.
type eachObject struct {
	enter   func(objectstore.Object)
	known   func(since, asOf int64)
	reached func(error)
}

// Replace implements kindwatch.Handler.
func (h *eachObject) Replace(objects []objectstore.Object, revision int64) {
	for _, o := range objects {
		h.enter(o)
	}
	h.known(0, revision)
}

// Change implements kindwatch.Handler.
func (h *eachObject) Change(changes []objectstore.Change, revision int64) {
	for _, c := range changes {
		if !c.Deleted {
			h.enter(c.Object)
		}
	}
	h.known(0, revision)
}

// Reached implements kindwatch.Handler.
func (h *eachObject) Reached(err error) { h.reached(err) }

func (d *Daemon) enterConfig(o objectstore.Object) {
	if o.Key == d.kinds.Main {
		d.applyConfig(o.Value, o.Revision, sourceStore)
	}
}

// applyConfig puts a configuration into force.
func (d *Daemon) applyConfig(value []byte, revision int64, source string) {
	c, err := d.kinds.DecodeConfig(value)
	if err != nil {
		d.log.Error().Err(err).Str(fieldEvent, "config_rejected").Str(fieldSource, source).Send()
		return
	}
	d.config.set(value, revision)
	if !d.deployment.setConfig(c) {
		return
	}
	d.log.Info().Str(fieldEvent, "config_in_force").Uint64(fieldConfig, c.Version).Str(fieldSource, source).
		Int(fieldCount, len(c.Routes)).Send()
	d.fleetChanged(source)
}

type targetHandler struct {
	d       *Daemon
	failing bool
}

// Replace implements kindwatch.Handler.
func (h *targetHandler) Replace(objects []objectstore.Object, revision int64) {
	var targets []fleet.StoredTarget
	for _, o := range objects {
		if t, ok := h.decode(o); ok {
			targets = append(targets, t)
		}
	}
	h.d.deployment.change(func(r *fleet.Registry, now time.Time) {
		r.Replace(now, targets, revision)
		h.d.deployment.listed = true
	})
	h.d.fleetChanged(sourceStore)
}

// Change implements kindwatch.Handler.
func (h *targetHandler) Change(changes []objectstore.Change, revision int64) {
	if len(changes) == 0 {
		h.d.deployment.reachedTargets(revision)
		return
	}
	h.d.deployment.change(func(r *fleet.Registry, now time.Time) {
		for _, c := range changes {
			if c.Deleted {
				r.Remove(now, nameOf(c.Object.Key), revision)
				continue
			}
			if t, ok := h.decode(c.Object); ok {
				r.Put(t)
			}
		}
		r.AdvanceTo(revision)
	})
	h.d.fleetChanged(sourceStore)
}

func (h *targetHandler) decode(o objectstore.Object) (fleet.StoredTarget, bool) {
	t, err := h.d.kinds.DecodeTarget(nameOf(o.Key), o.Value)
	if err != nil {
		h.d.log.Warn().Err(err).Str(fieldEvent, "target_ignored").Str(fieldTarget, nameOf(o.Key)).Send()
		return fleet.StoredTarget{}, false
	}
	return fleet.StoredTarget{Target: t, Revision: o.Revision}, true
}

// Reached implements kindwatch.Handler.
func (h *targetHandler) Reached(err error) {
	h.d.reached(h.d.kinds.Targets, err)
	failing := err != nil && !errs.Is(err, errs.HistoryGone)
	if failing != h.failing {
		h.failing = failing
		h.d.deployment.change(func(r *fleet.Registry, now time.Time) { r.SetOutage(now, failing) })
	}
}

func nameOf(key string) string {
	_, name, _ := strings.Cut(key, "/")
	return name
}

func (d *Daemon) enterVersion(o objectstore.Object) {
	a, version, err := d.kinds.DecodeVersion(o.Value)
	if err != nil {
		d.log.Warn().Err(err).Str(fieldEvent, "version_ignored").Send()
		return
	}
	d.setVersion(grouprpc.AdapterVersion{Adapter: a, Version: version, Revision: o.Revision})
}

// setVersion enters an announced version of an adapter.
func (d *Daemon) setVersion(v grouprpc.AdapterVersion) {
	if !d.versions.set(v) {
		return
	}
	d.log.Info().Str(fieldEvent, "adapter_version").Str(fieldAdapter, v.Adapter.Name).Int64(fieldVersion, v.Version).Send()
	d.groups.SetVersion(v.Adapter, v.Version)
}

type groupHandler struct{ d *Daemon }

// Replace implements kindwatch.Handler.
func (h *groupHandler) Replace(objects []objectstore.Object, _ int64) { h.d.groups.Replace(objects) }

// Change implements kindwatch.Handler.
func (h *groupHandler) Change(changes []objectstore.Change, _ int64) { h.d.groups.Change(changes) }

// Reached implements kindwatch.Handler.
func (h *groupHandler) Reached(err error) { h.d.reached(groupserver.Kind, err) }
