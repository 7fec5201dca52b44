package edge

import (
	"strconv"
	"sync"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
)

const (
	// maxUpdateAge is the time without an update from an owner after which this VM
	// follows the store itself.
	maxUpdateAge = 1200 * time.Millisecond
	// maxConfigLag is the time for which another VM may have a newer configuration
	// before this VM follows the store itself.
	maxConfigLag = 500 * time.Millisecond
)

// relay tracks the updates of the deployment that owners of groups send to this VM, and
// decides whether they suffice or this VM has to follow the store itself. Owners and
// their deputies follow the store and pass its changes on, so that the number of calls
// to the store does not grow with the number of VMs.
type relay struct {
	mu          sync.Mutex
	updatedAt   time.Time                          // when the last update was received, zero if none is to be relied on
	deputy      bool                               // this VM is the deputy of an owner
	behindSince time.Time                          // since when another VM has had a newer configuration, zero if none has
	newest      uint64                             // version of the newest configuration that another VM has named
	revisions   map[string]grouprpc.StoreRevisions // store revisions that each owner has applied, by the owner's VM name
}

// recordUpdate records that an owner has sent an update, whether this VM is its deputy,
// and the store revisions that the owner has applied.
func (r *relay) recordUpdate(owner string, deputy bool, revisions grouprpc.StoreRevisions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updatedAt, r.deputy = time.Now(), deputy
	r.setRevisionsLocked(owner, revisions)
}

// setRevisionsLocked records the store revisions that an owner has applied. The caller
// holds r.mu.
func (r *relay) setRevisionsLocked(owner string, revisions grouprpc.StoreRevisions) {
	if r.revisions == nil {
		r.revisions = map[string]grouprpc.StoreRevisions{}
	}
	r.revisions[owner] = revisions
}

// recordRevisions records the store revisions applied by an owner that cannot reach the
// store and therefore sent no update.
func (r *relay) recordRevisions(owner string, revisions grouprpc.StoreRevisions) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setRevisionsLocked(owner, revisions)
}

// revisionsOf returns the store revisions that an owner has applied, and whether the
// owner has reported them.
func (r *relay) revisionsOf(owner string) (grouprpc.StoreRevisions, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	revisions, found := r.revisions[owner]
	return revisions, found
}

// replacesStore reports whether the updates of owners are recent, so that this VM need
// not follow the store. A deputy follows the store in any case.
func (r *relay) replacesStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.updatedAt) < maxUpdateAge && !r.deputy
}

// ageMs returns the milliseconds since the last update, or -1 if there was none.
func (r *relay) ageMs() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.updatedAt.IsZero() {
		return -1
	}
	return time.Since(r.updatedAt).Milliseconds()
}

// isDeputy reports whether this VM is a deputy. A deputy watches the store itself, as
// the owner of a group does, although it also receives updates from the owner.
func (r *relay) isDeputy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deputy
}

// compareConfig compares the version of the configuration in force here with that of
// another VM. If the other one has been newer for longer than maxConfigLag, the updates
// received so far no longer count, so that this VM follows the store.
func (r *relay) compareConfig(own, other uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = max(r.newest, min(other, fleet.MaxVersion))
	switch {
	case other <= own:
		r.behindSince = time.Time{}
	case r.behindSince.IsZero():
		r.behindSince = time.Now()
	case time.Since(r.behindSince) > maxConfigLag:
		r.updatedAt = time.Time{}
	}
}

// isBehind reports whether another VM has named a newer configuration than the one in force
// here. One that names an older one afterwards does not end that.
func (r *relay) isBehind(own uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest > own
}

// followsStore reports whether this VM follows the store itself.
func (d *Daemon) followsStore() bool { return d.groups.OwnsAny() || !d.relay.replacesStore() }

// appliedRevisions returns the positions up to which this VM has applied the changes of
// each kind of object, whether it read them itself or received them, and the version of the
// configuration in force.
func (d *Daemon) appliedRevisions() grouprpc.StoreRevisions {
	return grouprpc.StoreRevisions{
		Config: d.config.appliedRevision(), Targets: d.deployment.appliedTargetRevision(), Versions: d.versions.appliedRevision(),
		ConfigVersion: d.configVersion(),
	}
}

// updateFor returns the update for a VM that has applied the given store revisions. It
// is empty while this VM cannot reach the store.
func (d *Daemon) updateFor(applied grouprpc.StoreRevisions) grouprpc.DeploymentUpdate {
	if d.health.unreachable() {
		return grouprpc.DeploymentUpdate{}
	}
	return grouprpc.DeploymentUpdate{
		Told: true, Config: d.config.updateSince(applied.Config, applied.ConfigVersion), Targets: d.deployment.targetUpdateSince(applied.Targets),
		Versions: d.versions.updateSince(applied.Versions),
	}
}

// updateForOwner returns the update that a deputy or another owner sends to an owner,
// so that the owner stays up to date when only the owner cannot reach the store. It
// returns nil if this VM has nothing to send.
func (d *Daemon) updateForOwner(owner string) *grouprpc.DeploymentUpdate {
	revisions, found := d.relay.revisionsOf(owner)
	if !found || !d.relay.isDeputy() && !d.groups.OwnsAny() {
		return nil
	}
	update := d.updateFor(revisions)
	if len(update.Config.Value)+len(update.Targets.Rows)+len(update.Versions.Rows) == 0 {
		return nil
	}
	return &update
}

// configVersion returns the version of the configuration in force, or 0 if there is none.
func (d *Daemon) configVersion() uint64 {
	if routes := d.deployment.Routes(); routes != nil {
		return routes.Config.Version
	}
	return 0
}

// handleSyncReply applies an owner's reply to a call of grouprpc.SyncMethod.
func (d *Daemon) handleSyncReply(owner, address string, reply *grouprpc.SyncReply) {
	d.relay.compareConfig(d.configVersion(), reply.Config)
	if !reply.News.Told {
		d.relay.recordRevisions(owner, reply.Known)
		return
	}
	d.relay.recordUpdate(owner, reply.News.Deputy, reply.Known)
	if reply.Known.ConfigVersion <= d.configVersion() {
		d.deployment.confirmConfig()
	}
	d.applyUpdate(&reply.News)
	if reply.News.Config.Deferred {
		d.fetchConfig(address)
	}
}

// checkVersion returns why an announcement that another VM has sent can't be used.
func checkVersion(v grouprpc.AdapterVersion, asOf objectstore.Position) error {
	if !fleet.ValidName(v.Adapter.Model) || !fleet.ValidName(v.Adapter.Name) || v.Version < 1 || !fleet.ValidVersion(v.Version) || v.Revision < 0 || v.Revision.Era() > asOf.Era() {
		return errs.New(errs.InvalidMessage, "an announcement of "+strconv.Quote(v.Adapter.Name)+" has the version "+strconv.FormatInt(v.Version, 10))
	}
	return nil
}

// applyVersions applies announcements of versions received from another VM. They count as made
// now, unless none has been received for some time.
func (d *Daemon) applyVersions(u grouprpc.VersionUpdate) {
	age := d.versions.sinceChecked()
	if age <= maxVersionLag {
		age = 0
	}
	for _, v := range u.Rows {
		if err := checkVersion(v, u.AsOf); err != nil {
			d.ignoreEntry("row_ignored", "peer", d.kinds.Versions, v.Revision, err)
			continue
		}
		d.setVersion(v, age)
	}
	d.versions.advance(u.Since, u.AsOf)
}

// applyUpdate applies an update received from another VM. A row that can't be used hides no
// others.
func (d *Daemon) applyUpdate(n *grouprpc.DeploymentUpdate) {
	d.applyConfigUpdate(&n.Config)
	var ignored []error
	n.Targets.Rows, ignored = fleet.CheckRows(time.Now(), n.Targets.AsOf, n.Targets.Rows)
	for _, err := range ignored {
		d.ignoreEntry("row_ignored", "peer", d.kinds.Targets, n.Targets.AsOf, err)
	}
	if d.deployment.applyTargets(n.Targets) {
		d.publishFleet(sourceRelay)
	}
	d.applyVersions(n.Versions)
	if era, known := newestEra(n); known {
		d.enterEra(era, sourceRelay)
	}
	d.checkCaughtUp()
}
