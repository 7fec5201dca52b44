package memstore

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// Lister implements objectstore.Lister. A listing becomes visible a lag after it
// was set. Its calls count at the store and fail with it.
type Lister struct {
	store *Store

	mu      sync.Mutex
	lag     time.Duration
	visible model.Listing
	pending []pendingListing
}

type pendingListing struct {
	set     time.Time
	listing model.Listing
}

var _ objectstore.Lister = (*Lister)(nil)

// NewLister returns an empty list that belongs to the store.
func NewLister(store *Store) *Lister { return &Lister{store: store} }

// SetLag changes the lag of listings that are not yet visible and of later
// ones.
func (l *Lister) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Set gives the truth, which callers see after the lag.
func (l *Lister) Set(listing model.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingListing{l.store.clock.Now(), copyOf(listing)})
	l.advance()
}

// List returns the newest visible listing.
func (l *Lister) List(ctx context.Context) (model.Listing, error) {
	if _, err := l.store.beginRead(ctx, OpListing, ""); err != nil {
		return model.Listing{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	return copyOf(l.visible), nil
}

func (l *Lister) advance() {
	now := l.store.clock.Now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].set.Add(l.lag)) {
		l.visible = l.pending[0].listing
		l.pending = l.pending[1:]
	}
}

func copyOf(listing model.Listing) model.Listing {
	return model.Listing{
		VMs:     append([]model.ListedVM(nil), listing.VMs...),
		Targets: append([]model.Target(nil), listing.Targets...),
	}
}
