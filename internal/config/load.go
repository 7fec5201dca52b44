package config

import (
	"context"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// loadAttempts is how often Load begins anew when parts of the root that it
// read are pruned before it has read them.
const loadAttempts = 3

// Snapshot is one accepted configuration.
type Snapshot struct {
	Document *Document // normalised and valid
	Version  uint64
	Revision int64 // of the store when the root was read
}

// Load reads the accepted configuration at a revision of at least minRevision.
// Errors: errs.NotFound when there is none, errs.InvalidConfig, and those of
// objectstore.Store.
func Load(ctx context.Context, store objectstore.Store, minRevision int64) (*Snapshot, error) {
	var err error
	for range loadAttempts {
		var snapshot *Snapshot
		snapshot, err = loadOnce(ctx, store, minRevision)
		if !errs.Is(err, errs.NotFound) {
			return snapshot, err
		}
	}
	return nil, err
}

func loadOnce(ctx context.Context, store objectstore.Store, minRevision int64) (*Snapshot, error) {
	stored, _, err := readRoot(ctx, store, minRevision)
	if err != nil {
		return nil, err
	}
	if stored == nil {
		return nil, errs.New(errs.NotFound, "no configuration has been published")
	}
	return stored.load(ctx, store)
}

func (s *storedRoot) load(ctx context.Context, store objectstore.Store) (*Snapshot, error) {
	d, err := s.document(func(digest string) ([]byte, error) {
		return fetchPart(ctx, store, digest, s.object.Revision)
	}, nil)
	if err != nil {
		return nil, err
	}
	return &Snapshot{Document: d, Version: s.Version, Revision: s.revision}, nil
}

// fetchPart reads one part and checks its content. A root's parts exist at the
// revision of the root, so that a stale replica cannot report one as missing.
func fetchPart(ctx context.Context, store objectstore.Store, digest string, minRevision int64) ([]byte, error) {
	object, err := store.Get(ctx, partPrefix+digest, minRevision)
	if err != nil {
		return nil, err
	}
	return object.Value, verify(digest, object.Value)
}

func verify(digest string, data []byte) error {
	if digestOf(data) != digest {
		return errs.New(errs.InvalidMessage, "part "+digest+" has other content than its digest says")
	}
	return nil
}
