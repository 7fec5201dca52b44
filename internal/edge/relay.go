package edge

import (
	"sync"
	"time"

	"cicadaslip/internal/grouprpc"
)

const (
	// newsAge is the time without news from an owner after which this VM follows the
	// store itself.
	newsAge = 1200 * time.Millisecond
	// behindLimit is the time for which another VM may have a newer configuration
	// before this one follows the store itself.
	behindLimit = 500 * time.Millisecond
)

// relay decides whether this VM relies on what owners of groups tell. Owners and
// their deputies follow the store, so that the calls to it do not grow with the VMs.
type relay struct {
	mu      sync.Mutex
	heardAt time.Time
	deputy  bool
	behind  time.Time                          // since when another VM has a newer configuration
	places  map[string]grouprpc.StoreRevisions // what owners know
}

// heard enters that an owner has told news, and what it knows.
func (r *relay) heard(owner string, deputy bool, places grouprpc.StoreRevisions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heardAt, r.deputy = time.Now(), deputy
	r.know(owner, places)
}

// know enters what an owner knows. The caller holds the lock.
func (r *relay) know(owner string, places grouprpc.StoreRevisions) {
	if r.places == nil {
		r.places = map[string]grouprpc.StoreRevisions{}
	}
	r.places[owner] = places
}

// blind enters what an owner knows that cannot reach the store.
func (r *relay) blind(owner string, places grouprpc.StoreRevisions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.know(owner, places)
}

// placesOf returns what an owner knows, if it has told.
func (r *relay) placesOf(owner string) (grouprpc.StoreRevisions, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	places, told := r.places[owner]
	return places, told
}

// fresh reports whether owners tell news, so that the store need not be followed.
func (r *relay) fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.heardAt) < newsAge && !r.deputy
}

// age returns the milliseconds since the last news, -1 if there were none.
func (r *relay) age() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heardAt.IsZero() {
		return -1
	}
	return time.Since(r.heardAt).Milliseconds()
}

// isDeputy reports whether this VM follows the store besides the owner.
func (r *relay) isDeputy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deputy
}

// noteConfig compares the configuration in force with that of another VM. If that
// is newer for a while, the news are not to be relied on.
func (r *relay) noteConfig(own, other uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case other <= own:
		r.behind = time.Time{}
	case r.behind.IsZero():
		r.behind = time.Now()
	case time.Since(r.behind) > behindLimit:
		r.heardAt = time.Time{}
	}
}

// followsStore reports whether this VM follows the store itself.
func (d *Daemon) followsStore() bool { return d.groups.OwnsAny() || !d.relay.fresh() }

// known returns what this VM knows of the deployment.
func (d *Daemon) known() grouprpc.StoreRevisions {
	return grouprpc.StoreRevisions{
		Config: d.config.known(), Targets: d.deployment.knownTargets(), Versions: d.versions.known(),
	}
}

// newsFor returns what a VM that knows something of the deployment has to be told.
func (d *Daemon) newsFor(known grouprpc.StoreRevisions) grouprpc.DeploymentUpdate {
	if d.health.blind() {
		return grouprpc.DeploymentUpdate{}
	}
	return grouprpc.DeploymentUpdate{
		Told: true, Config: d.config.since(known.Config), Targets: d.deployment.targetsSince(known.Targets),
		Versions: d.versions.since(known.Versions),
	}
}

// push returns what a deputy or another owner tells an owner, so that the owner stays
// up to date when only it does not reach the store.
func (d *Daemon) push(owner string) *grouprpc.DeploymentUpdate {
	places, told := d.relay.placesOf(owner)
	if !told || !d.relay.isDeputy() && !d.groups.OwnsAny() {
		return nil
	}
	news := d.newsFor(places)
	if len(news.Config.Value)+len(news.Targets.Rows)+len(news.Versions.Rows) == 0 {
		return nil
	}
	return &news
}

// configVersion returns the version of the configuration in force.
func (d *Daemon) configVersion() uint64 {
	if routes := d.deployment.Routes(); routes != nil {
		return routes.Config.Version
	}
	return 0
}

// ownerTold enters what an owner has told.
func (d *Daemon) ownerTold(owner string, reply *grouprpc.SyncReply) {
	d.relay.noteConfig(d.configVersion(), reply.Config)
	if !reply.News.Told {
		d.relay.blind(owner, reply.Known)
		return
	}
	d.relay.heard(owner, reply.News.Deputy, reply.Known)
	d.enterNews(&reply.News)
}

// enterNews enters what another VM knows.
func (d *Daemon) enterNews(n *grouprpc.DeploymentUpdate) {
	if len(n.Config.Value) > 0 {
		d.applyConfig(n.Config.Value, n.Config.Revision, sourceRelay)
	}
	d.config.reached(n.Config.Since, n.Config.AsOf)
	if d.deployment.apply(n.Targets) {
		d.fleetChanged(sourceRelay)
	}
	for _, v := range n.Versions.Rows {
		d.setVersion(v)
	}
	d.versions.reached(n.Versions.Since, n.Versions.AsOf)
}
