package config

import (
	"context"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// maxLoadAttempts is the number of attempts that Load makes when parts of the
// root that it read are pruned before it has read them.
const maxLoadAttempts = 3

// Snapshot is one accepted configuration.
type Snapshot struct {
	Document *Document // normalised and valid
	Version  uint64
	Revision int64 // store revision at which the root was read
}

// Load reads the accepted configuration at a store revision of at least
// minRevision. It returns errs.NotFound if no configuration has been published,
// errs.InvalidConfig if the stored one is invalid, and the errors of
// objectstore.Store.
func Load(ctx context.Context, store objectstore.Store, minRevision int64) (*Snapshot, error) {
	var err error
	for range maxLoadAttempts {
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

// load fetches the parts of the root and returns the whole configuration.
func (s *storedRoot) load(ctx context.Context, store objectstore.Store) (*Snapshot, error) {
	d, err := s.assembleDocument(func(digest string) ([]byte, error) {
		return fetchPart(ctx, store, digest, s.object.Revision)
	}, nil)
	if err != nil {
		return nil, err
	}
	return &Snapshot{Document: d, Version: s.Version, Revision: s.revision}, nil
}

// fetchPart reads one part and verifies its digest. The parts of a root exist
// at the revision of the root, so with that revision as minRevision a stale
// replica cannot report a part as missing.
func fetchPart(ctx context.Context, store objectstore.Store, digest string, minRevision int64) ([]byte, error) {
	object, err := store.Get(ctx, partPrefix+digest, minRevision)
	if err != nil {
		return nil, err
	}
	return object.Value, verifyDigest(digest, object.Value)
}

// verifyDigest returns an error if the digest of data is not the given one.
func verifyDigest(digest string, data []byte) error {
	if digestOf(data) != digest {
		return errs.New(errs.InvalidMessage, "the content of part "+digest+" does not match its digest")
	}
	return nil
}
