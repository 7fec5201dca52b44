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

// Peers fetches configurations from other nodes. Its methods must be safe for
// concurrent use.
type Peers interface {
	// Root returns the encoded root of the newest version that a reachable peer
	// has applied.
	Root(ctx context.Context) ([]byte, error)
	// Part returns the encoded part with the given digest from any peer.
	Part(ctx context.Context, digest string) ([]byte, error)
}

// Options configures a Follower.
type Options struct {
	Store objectstore.Store
	Peers Peers // optional; if nil, the store is the only source
	// OnApply, if set, is called with each configuration that comes into force,
	// in order of versions. It must not call ReadStore or ReadPeers, because
	// the follower holds its lock during the call.
	OnApply func(*model.Configuration)
	// OnError, if set, is called with each error after which Run continues.
	OnError func(error)
	// WatchWait is the longest time that one watch call waits for a change; 0
	// means DefaultWatchWait. A watch on a connection that has stopped
	// delivering data is not abandoned before this time has passed.
	WatchWait time.Duration
	// PollInterval is the mean time between reads of the store by a node that
	// does not watch; 0 means DefaultPollInterval. Polling finds versions that
	// no heartbeat has announced.
	PollInterval time.Duration
	// Now returns the current time, which is recorded for each contact with the
	// store; nil means time.Now.
	Now func() time.Time
}

// Defaults of Options. Together with the call timeout of the store they let a
// node that misses one notification apply a configuration within the limit of
// nine seconds after it was accepted.
const (
	DefaultWatchWait    = 3 * time.Second
	DefaultPollInterval = 5 * time.Second
)

// Follower keeps the newest accepted configuration of a node. It is safe for
// concurrent use.
type Follower struct {
	options          Options
	current          atomic.Pointer[appliedConfig]
	announcedVersion atomic.Uint64 // newest version announced by a peer
	watching         atomic.Bool
	lastContact      atomic.Int64  // last answer of the store, in Unix nanoseconds
	wakeup           chan struct{} // interrupts a wait of Run; holds at most one signal

	mu       sync.Mutex // held while a configuration is fetched and applied
	revision int64      // store revision up to which the root is known
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
	return &Follower{options: options, wakeup: make(chan struct{}, 1)}
}

// Current returns the configuration in force, or nil before the first one is
// applied. The caller must not modify it.
func (f *Follower) Current() *model.Configuration {
	if a := f.current.Load(); a != nil {
		return a.configuration
	}
	return nil
}

// Version returns the version in force, or 0 before the first configuration is
// applied.
func (f *Follower) Version() uint64 {
	if a := f.current.Load(); a != nil {
		return a.root.Version
	}
	return 0
}

// NewestVersion returns the newest version that this node has applied or that a
// peer has announced.
func (f *Follower) NewestVersion() uint64 { return max(f.Version(), f.announcedVersion.Load()) }

// LastStoreContact returns the time at which the store last answered a read or
// watch of the root, or the zero time if it never has.
func (f *Follower) LastStoreContact() time.Time {
	if nanoseconds := f.lastContact.Load(); nanoseconds != 0 {
		return time.Unix(0, nanoseconds)
	}
	return time.Time{}
}

// Root returns the encoded root of the configuration in force, for peers. It
// reports false before the first configuration is applied.
func (f *Follower) Root() ([]byte, bool) {
	a := f.current.Load()
	if a == nil {
		return nil, false
	}
	return a.encodedRoot, true
}

// Part returns the encoded part with the given digest, for peers. It reports
// false if the configuration in force has no such part.
func (f *Follower) Part(digest string) ([]byte, bool) {
	a := f.current.Load()
	if a == nil {
		return nil, false
	}
	part, ok := a.parts[digest]
	return part.data, ok
}

// NotifyVersion records a version that a peer has announced, and wakes Run if
// it is newer than the version in force.
func (f *Follower) NotifyVersion(version uint64) {
	for {
		announced := f.announcedVersion.Load()
		if version <= announced {
			return
		}
		if f.announcedVersion.CompareAndSwap(announced, version) {
			break
		}
	}
	if version > f.Version() {
		f.wake()
	}
}

// SetWatching sets whether this node watches the root in the store. A node that
// does not watch polls the store.
func (f *Follower) SetWatching(enabled bool) {
	if f.watching.Swap(enabled) != enabled {
		f.wake()
	}
}

// wake interrupts the current or next wait of Run.
func (f *Follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// ReadStore reads the root at a store revision of at least minRevision and
// applies it if its version is newer than the one in force. On success the
// configuration in force is at least as new as the one that was accepted at
// minRevision. It returns errs.NotFound if no configuration has been published.
func (f *Follower) ReadStore(ctx context.Context, minRevision int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A read at a revision below f.revision could only return a root that is
	// already known.
	stored, revision, err := readRoot(ctx, f.options.Store, max(minRevision, f.revision))
	if err != nil {
		return err
	}
	f.lastContact.Store(f.options.Now().UnixNano())
	if stored == nil {
		return f.missingRootError()
	}
	if stored.Version > f.Version() {
		if err := f.apply(stored.root, stored.data, f.fetchStoreFirst(ctx, stored.object.Revision)); err != nil {
			return err
		}
	}
	f.revision = max(f.revision, revision)
	return nil
}

// missingRootError returns the error for a store that has no root. A missing
// root after a version was applied means that the read was stale.
func (f *Follower) missingRootError() error {
	if f.Version() > 0 {
		return errs.New(errs.StoreStale, "the store returned no configuration root although a version is in force")
	}
	return errs.New(errs.NotFound, "no configuration has been published")
}

// ReadPeers applies the newest configuration of the reachable peers if its
// version is newer than the one in force.
func (f *Follower) ReadPeers(ctx context.Context) error {
	if f.options.Peers == nil {
		return errs.New(errs.PeerUnavailable, "no peers are configured")
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
	return f.apply(r, data, f.fetchPeersFirst(ctx))
}

// partFetcher returns the encoded part with the given digest, after verifying
// its content.
type partFetcher func(digest string) ([]byte, error)

// fetchStoreFirst returns a partFetcher that reads from the store at the given
// revision or later, with peers as the fallback.
func (f *Follower) fetchStoreFirst(ctx context.Context, revision int64) partFetcher {
	return withFallback(f.fetchFromStore(ctx, revision), f.fetchFromPeers(ctx))
}

// fetchPeersFirst returns a partFetcher that reads from peers, with the store
// as the fallback.
func (f *Follower) fetchPeersFirst(ctx context.Context) partFetcher {
	return withFallback(f.fetchFromPeers(ctx), f.fetchFromStore(ctx, 0))
}

// fetchFromStore returns a partFetcher that reads from the store at the given
// revision or later.
func (f *Follower) fetchFromStore(ctx context.Context, revision int64) partFetcher {
	return func(digest string) ([]byte, error) {
		return fetchPart(ctx, f.options.Store, digest, revision)
	}
}

// fetchFromPeers returns a partFetcher that reads from peers.
func (f *Follower) fetchFromPeers(ctx context.Context) partFetcher {
	return func(digest string) ([]byte, error) {
		if f.options.Peers == nil {
			return nil, errs.New(errs.PeerUnavailable, "no peers are configured")
		}
		data, err := f.options.Peers.Part(ctx, digest)
		if err != nil {
			return nil, err
		}
		return data, verifyDigest(digest, data)
	}
}

// withFallback returns a partFetcher that tries primary and then fallback. If
// both fail, it returns the error of primary.
func withFallback(primary, fallback partFetcher) partFetcher {
	return func(digest string) ([]byte, error) {
		data, err := primary(digest)
		if err == nil {
			return data, nil
		}
		if data, fallbackErr := fallback(digest); fallbackErr == nil {
			return data, nil
		}
		return nil, err
	}
}
