package edge

import (
	"sync"
	"time"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
)

const (
	// feedAge is the time without news from another VM after which this one follows
	// the store itself.
	feedAge = 1200 * time.Millisecond
	// feedPause is the time between questions to owners that are not followed yet.
	feedPause = 300 * time.Millisecond
	// behindLimit is the time for which another VM may have a newer configuration
	// before this one follows the store itself.
	behindLimit = 500 * time.Millisecond
)

// relay follows the feed of an owner. Owners and their deputies follow the store,
// so that the calls to it do not grow with the VMs.
type relay struct {
	mu      sync.Mutex
	source  uint64
	counter uint64
	from    string // owner that is followed
	heardAt time.Time
	askedAt time.Time
	deputy  bool
	pushed  map[string]uint64 // place in this VM's own feed that an owner was told
	behind  time.Time         // since when another VM has a newer configuration
}

// followed returns the place in an owner's feed if that owner is to be asked. A new
// one is chosen when the present one is silent or blind, one at a time, because its
// first answer is long.
func (r *relay) followed(owner string) (grouprpc.FeedRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.from != owner {
		if time.Since(r.heardAt) < feedAge || time.Since(r.askedAt) < feedPause {
			return grouprpc.FeedRequest{}, false
		}
		r.from = owner
	}
	r.askedAt = time.Now()
	return grouprpc.FeedRequest{Source: r.source, Counter: r.counter}, true
}

// blind enters that the owner that was asked cannot reach the store. The next one is
// asked at once.
func (r *relay) blind() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from, r.askedAt = "", time.Time{}
}

// follows reports whether an owner's feed is followed.
func (r *relay) follows(owner string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.from == owner
}

// heard enters an answer with news.
func (r *relay) heard(n *grouprpc.News) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source, r.counter, r.heardAt, r.deputy = n.Source, n.Counter, time.Now(), n.Deputy
}

// fresh reports whether the feed is followed, so that the store need not be.
func (r *relay) fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.heardAt) < feedAge && !r.deputy
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
// is newer for a while, the feed is not to be trusted.
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

// push returns what a deputy or another owner tells an owner, so that the owner stays
// up to date when only it does not reach the store.
func (d *Daemon) push(owner string) *grouprpc.News {
	if !d.relay.isDeputy() && !d.groups.OwnsAny() || d.health.blind() {
		return nil
	}
	d.relay.mu.Lock()
	defer d.relay.mu.Unlock()
	if d.relay.pushed == nil {
		d.relay.pushed = map[string]uint64{}
	}
	n := d.feed.since(d.feed.source, d.relay.pushed[owner])
	d.relay.pushed[owner] = n.Counter
	return &n
}

// configVersion returns the version of the configuration in force.
func (d *Daemon) configVersion() uint64 {
	if routes := d.deployment.Routes(); routes != nil {
		return routes.Config.Version
	}
	return 0
}

// applyNews enters what an owner has told. An owner that cannot reach the store is
// not followed.
func (d *Daemon) applyNews(n *grouprpc.News) {
	if n.Source == 0 {
		return
	}
	if n.Blind {
		d.relay.blind()
		return
	}
	d.relay.heard(n)
	d.enterNews(n, n.Full)
}

// enterNews enters what another VM knows; if it is all, in place of what this one
// knows.
func (d *Daemon) enterNews(n *grouprpc.News, all bool) {
	if len(n.Config) > 0 {
		d.applyConfig(n.Config, "relay")
	}
	if all || len(n.Targets)+len(n.Gone) > 0 {
		d.deployment.change(func(r *fleet.Registry, now time.Time) {
			if all {
				r.Replace(now, n.Targets)
				d.deployment.listed = true
				return
			}
			for _, t := range n.Targets {
				r.Put(t)
			}
			for _, id := range n.Gone {
				r.Remove(now, id)
			}
		})
		d.fleetChanged()
	}
	for _, v := range n.Versions {
		d.setVersion(v.Adapter, v.Version)
	}
}

// news answers a VM that follows this one.
func (d *Daemon) news(r grouprpc.FeedRequest) grouprpc.News {
	if d.health.blind() {
		return grouprpc.News{Source: d.feed.source, Blind: true}
	}
	return d.feed.since(r.Source, r.Counter)
}
