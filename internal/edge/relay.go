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
)

// relay follows the feed of an owner. Owners and their deputies follow the store,
// so that the calls to it do not grow with the VMs.
type relay struct {
	mu      sync.Mutex
	source  uint64
	counter uint64
	from    string // owner that is followed
	heardAt time.Time
	deputy  bool
}

// followed returns the owner whose feed is asked for, and the place in it. A new one
// is chosen when the present one is silent.
func (r *relay) followed(owner string) (grouprpc.FeedRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.from != owner && time.Since(r.heardAt) < feedAge {
		return grouprpc.FeedRequest{}, false
	}
	r.from = owner
	return grouprpc.FeedRequest{Source: r.source, Counter: r.counter}, true
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

// followsStore reports whether this VM follows the store itself.
func (d *Daemon) followsStore() bool { return d.groups.OwnsAny() || !d.relay.fresh() }

// applyNews enters what an owner has told. An owner that cannot reach the store is
// not followed.
func (d *Daemon) applyNews(n *grouprpc.News) {
	if n.Source == 0 || n.Blind {
		return
	}
	d.relay.heard(n)
	if len(n.Config) > 0 {
		d.applyConfig(n.Config, "relay")
	}
	if n.Full || len(n.Targets)+len(n.Gone) > 0 {
		d.deployment.change(func(r *fleet.Registry, now time.Time) {
			if n.Full {
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
	n := d.feed.since(r.Source, r.Counter)
	n.Blind = d.health.blind()
	return n
}
