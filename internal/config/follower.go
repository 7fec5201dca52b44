package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// Peers gives configurations of other nodes. Both methods may be called by
// several goroutines.
type Peers interface {
	// Root returns the encoded root of the newest version that a reachable
	// peer has applied.
	Root(ctx context.Context) ([]byte, error)
	// Part returns a part by its digest from any peer.
	Part(ctx context.Context, digest string) ([]byte, error)
}

// Options of a Follower.
type Options struct {
	Store objectstore.Store
	Peers Peers // nil: the store is the only source
	// OnApply is called with each configuration that comes into force, in
	// order of versions. It must not call the follower's reading methods.
	OnApply func(*model.Configuration)
	// OnError is called with each failure that Run goes on from.
	OnError func(error)
	// WatchWait is the longest wait of one watch call; 0: DefaultWatchWait. A
	// watch on a connection that went silent ends only after it.
	WatchWait time.Duration
	// PollInterval is the mean time between reads of a node that does not
	// watch; 0: DefaultPollInterval. It catches versions of which no heartbeat
	// told.
	PollInterval time.Duration
	// Now gives the time of contacts with the store; nil: time.Now.
	Now func() time.Time
}

// Defaults of Options. Together with the call timeout of the store they keep a
// node that misses one piece of news within the nine seconds in which a
// configuration must be in force.
const (
	DefaultWatchWait    = 3 * time.Second
	DefaultPollInterval = 5 * time.Second
)

// Follower keeps the newest accepted configuration of a node. It is safe for
// concurrent use.
type Follower struct {
	options  Options
	current  atomic.Pointer[applied]
	heard    atomic.Uint64
	watching atomic.Bool
	contact  atomic.Int64 // Unix nanoseconds
	woken    chan struct{}

	mu       sync.Mutex // held while a configuration is fetched and applied
	revision int64      // of the store, up to which the root is known
}

// NewFollower returns a follower without a configuration.
func NewFollower(options Options) *Follower {
	if options.WatchWait <= 0 {
		options.WatchWait = DefaultWatchWait
	}
	if options.PollInterval <= 0 {
		options.PollInterval = DefaultPollInterval
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Follower{options: options, woken: make(chan struct{}, 1)}
}

// Current returns the configuration in force, or nil before the first. It must
// not be changed.
func (f *Follower) Current() *model.Configuration {
	if a := f.current.Load(); a != nil {
		return a.configuration
	}
	return nil
}

// Version returns the version in force, or 0.
func (f *Follower) Version() uint64 {
	if a := f.current.Load(); a != nil {
		return a.root.Version
	}
	return 0
}

// Newest returns the newest version that this node has applied or heard of.
func (f *Follower) Newest() uint64 { return max(f.Version(), f.heard.Load()) }

// LastStoreContact returns when the store last answered a read of the root, or
// the zero time.
func (f *Follower) LastStoreContact() time.Time {
	if at := f.contact.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Root returns the encoded root in force for peers.
func (f *Follower) Root() ([]byte, bool) {
	a := f.current.Load()
	if a == nil {
		return nil, false
	}
	return a.data, true
}

// Part returns a part of the configuration in force for peers.
func (f *Follower) Part(digest string) ([]byte, bool) {
	a := f.current.Load()
	if a == nil {
		return nil, false
	}
	held, ok := a.parts[digest]
	return held.data, ok
}

// Hear tells the follower of a version that a peer has in force.
func (f *Follower) Hear(version uint64) {
	for {
		known := f.heard.Load()
		if version <= known {
			return
		}
		if f.heard.CompareAndSwap(known, version) {
			break
		}
	}
	if version > f.Version() {
		f.wake()
	}
}

// SetWatching chooses whether this node watches the root in the store.
func (f *Follower) SetWatching(on bool) {
	if f.watching.Swap(on) != on {
		f.wake()
	}
}

func (f *Follower) wake() {
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// ReadStore reads the root at a revision of at least minRevision and applies it
// if it is newer. Success means that the configuration in force is at least
// the one that was accepted at minRevision. errs.NotFound: none was published.
func (f *Follower) ReadStore(ctx context.Context, minRevision int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A read below the known revision could only return what is known already.
	stored, revision, err := readRoot(ctx, f.options.Store, max(minRevision, f.revision))
	if err != nil {
		return err
	}
	f.contact.Store(f.options.Now().UnixNano())
	if stored == nil {
		return f.absent()
	}
	if stored.Version > f.Version() {
		if err := f.apply(stored.root, stored.data, f.storeFirst(ctx, stored.object.Revision)); err != nil {
			return err
		}
	}
	f.revision = max(f.revision, revision)
	return nil
}

func (f *Follower) absent() error {
	if f.Version() > 0 {
		return errs.New(errs.StoreStale, "the root is missing but a version is in force")
	}
	return errs.New(errs.NotFound, "no configuration has been published")
}

// ReadPeers applies the newest configuration of the reachable peers if it is
// newer than the one in force.
func (f *Follower) ReadPeers(ctx context.Context) error {
	if f.options.Peers == nil {
		return errs.New(errs.PeerUnavailable, "no peers are known")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.options.Peers.Root(ctx)
	if err != nil {
		return err
	}
	r, err := decodeRoot(data)
	if err != nil || r.Version <= f.Version() {
		return err
	}
	return f.apply(r, data, f.peersFirst(ctx))
}

// source returns a verified part.
type source func(digest string) ([]byte, error)

func (f *Follower) storeFirst(ctx context.Context, revision int64) source {
	return first(f.fromStore(ctx, revision), f.fromPeers(ctx))
}

func (f *Follower) peersFirst(ctx context.Context) source {
	return first(f.fromPeers(ctx), f.fromStore(ctx, 0))
}

func (f *Follower) fromStore(ctx context.Context, revision int64) source {
	return func(digest string) ([]byte, error) {
		return fetchPart(ctx, f.options.Store, digest, revision)
	}
}

func (f *Follower) fromPeers(ctx context.Context) source {
	return func(digest string) ([]byte, error) {
		if f.options.Peers == nil {
			return nil, errs.New(errs.PeerUnavailable, "no peers are known")
		}
		data, err := f.options.Peers.Part(ctx, digest)
		if err != nil {
			return nil, err
		}
		return data, verify(digest, data)
	}
}

func first(a, b source) source {
	return func(digest string) ([]byte, error) {
		data, err := a(digest)
		if err == nil {
			return data, nil
		}
		if data, otherErr := b(digest); otherErr == nil {
			return data, nil
		}
		return nil, err
	}
}
