package config

import (
	"context"
	"encoding/json"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// Object keys in the store.
const (
	RootKey    = "config/root"
	partPrefix = "config/parts/"
)

const (
	// maxRecentWrites is the number of accepted writes that the root lists, so
	// that an operator whose response was lost can find its write after others
	// have written on top of it.
	maxRecentWrites = 32
	// retiredPartLifetimeVersions is the number of versions for which a part
	// stays in the store after the last version that uses it, for nodes that
	// are still fetching that version.
	retiredPartLifetimeVersions = 16
)

// root is the versioned object that refers to the parts of a configuration.
type root struct {
	Version       uint64          `json:"version"`
	Recent        []acceptedWrite `json:"recent"` // newest first; the first entry created this version
	BaseModels    []string        `json:"base_models"`
	LoadRate      float64         `json:"load_rate"`
	JournalShards int             `json:"journal_shards"`
	Retention     Duration        `json:"retention"`
	GroupsPerPool int             `json:"groups_per_pool"`
	Parts         []string        `json:"parts"` // digests
	Retired       []retiredPart   `json:"retired,omitempty"`
}

// acceptedWrite identifies one accepted publication.
type acceptedWrite struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
}

// retiredPart is a part that no longer belongs to the configuration but is
// still in the store.
type retiredPart struct {
	Digest  string `json:"digest"`
	Version uint64 `json:"version"` // first version that does not use the part
}

// storedRoot is a root as read from the store. A nil *storedRoot means that no
// configuration has been published.
type storedRoot struct {
	root
	data     []byte // encoded root
	object   objectstore.Object
	revision int64 // store revision at which the root was read
}

// version returns the version of the root, or 0 if s is nil.
func (s *storedRoot) version() uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}

// decodeRoot decodes a root and checks that it has a version and a list of
// recent writes.
func decodeRoot(data []byte) (root, error) {
	var r root
	if err := decodeJSON(data, &r); err != nil {
		return root{}, err
	}
	if r.Version == 0 || len(r.Recent) == 0 {
		return root{}, errs.New(errs.InvalidConfig, "the configuration root has no version or no recent writes")
	}
	return r, nil
}

// readRoot reads the root and the store's revision. It uses a list call,
// because the response carries the revision even if there is no root; the
// returned root is then nil.
func readRoot(ctx context.Context, store objectstore.Store, minRevision int64) (*storedRoot, int64, error) {
	page, err := store.List(ctx, RootKey, "", 1, minRevision)
	if err != nil {
		return nil, 0, err
	}
	if len(page.Objects) == 0 || page.Objects[0].Key != RootKey {
		return nil, page.Revision, nil
	}
	object := page.Objects[0]
	r, err := decodeRoot(object.Value)
	if err != nil {
		return nil, 0, err
	}
	return &storedRoot{root: r, data: object.Value, object: object, revision: page.Revision}, page.Revision, nil
}

// nextRoot returns the root that follows old, for document d. id identifies the
// write.
func nextRoot(old *storedRoot, d *Document, parts []encodedPart, id string) root {
	r := root{
		Version: old.version() + 1, BaseModels: d.BaseModels, LoadRate: d.LoadRate,
		JournalShards: d.JournalShards, Retention: d.Retention, GroupsPerPool: d.GroupsPerPool,
	}
	used := map[string]bool{}
	for _, p := range parts {
		r.Parts = append(r.Parts, p.digest)
		used[p.digest] = true
	}
	r.Recent = []acceptedWrite{{r.Version, id}}
	if old == nil {
		return r
	}
	r.Recent = append(r.Recent, old.Recent[:min(len(old.Recent), maxRecentWrites-1)]...)
	for _, p := range old.Retired {
		if !used[p.Digest] {
			r.Retired = append(r.Retired, p)
		}
	}
	for _, digest := range old.Parts {
		if !used[digest] {
			r.Retired = append(r.Retired, retiredPart{digest, r.Version})
		}
	}
	return r
}

// encode returns the root as JSON, or errs.TooLarge if it exceeds the store's
// limit for one value.
func (r *root) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "the configuration root cannot be encoded")
	}
	if len(data) > objectstore.MaxValueBytes {
		return nil, errs.New(errs.TooLarge, "the encoded configuration root exceeds the store's limit for one value")
	}
	return data, nil
}

// findWrite reports whether the write with the given id created the given
// version. certain is false if r is at this version or a later one, but its
// list of recent writes no longer includes the version.
func (r *root) findWrite(version uint64, id string) (found, certain bool) {
	for _, w := range r.Recent {
		if w.Version == version {
			return w.ID == id, true
		}
	}
	return false, r.Version < version
}

// assembleDocument returns the validated document that consists of the root's
// scalar values and the entries of its parts. fetch returns the encoded part
// for a digest, or nil to omit the part. onDecoded, if not nil, is called with
// the number of adapters of each decoded part.
func (r *root) assembleDocument(fetch func(digest string) ([]byte, error), onDecoded func(digest string, adapters int)) (*Document, error) {
	d := &Document{
		BaseModels: r.BaseModels, LoadRate: r.LoadRate, JournalShards: r.JournalShards,
		Retention: r.Retention, GroupsPerPool: r.GroupsPerPool,
	}
	for _, digest := range r.Parts {
		data, err := fetch(digest)
		if err != nil {
			return nil, err
		}
		if data == nil {
			continue
		}
		before := len(d.Adapters)
		if err := appendPart(d, data); err != nil {
			return nil, err
		}
		if onDecoded != nil {
			onDecoded(digest, len(d.Adapters)-before)
		}
	}
	return d, d.Validate()
}
