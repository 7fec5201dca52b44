package memstore

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// Lister implements objectstore.Lister. A listing becomes visible when the lag has
// passed since it was set. Calls count in the store's counters and rate limits,
// and the store's outage and rules apply to them.
type Lister struct {
	store *Store

	mu      sync.Mutex
	lag     time.Duration
	visible model.Listing
	pending []pendingListing // not yet visible, oldest first
}

// pendingListing is a listing with the time at which it was set.
type pendingListing struct {
	setAt   time.Time
	listing model.Listing
}

var _ objectstore.Lister = (*Lister)(nil)

// NewLister returns an empty list that shares the clock, the counters and the
// faults of the store.
func NewLister(store *Store) *Lister { return &Lister{store: store} }

// SetLag changes the lag of listings that are not yet visible and of later
// ones.
func (l *Lister) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Set sets the actual state, which List returns after the lag.
func (l *Lister) Set(listing model.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingListing{l.store.clock.Now(), cloneListing(listing)})
	l.publishDue()
}

// List returns the newest visible listing.
func (l *Lister) List(ctx context.Context) (model.Listing, error) {
	if _, err := l.store.startRead(ctx, OpListing, ""); err != nil {
		return model.Listing{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publishDue()
	return cloneListing(l.visible), nil
}

// publishDue makes the listings visible whose lag has passed. The caller holds l.mu.
func (l *Lister) publishDue() {
	now := l.store.clock.Now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].setAt.Add(l.lag)) {
		l.visible = l.pending[0].listing
		l.pending = l.pending[1:]
	}
}

func cloneListing(listing model.Listing) model.Listing {
	return model.Listing{
		VMs:     append([]model.ListedVM(nil), listing.VMs...),
		Targets: append([]model.Target(nil), listing.Targets...),
	}
}
