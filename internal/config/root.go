package config

import (
	"context"
	"encoding/json"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// Keys in the store.
const (
	RootKey    = "config/root"
	partPrefix = "config/parts/"
)

const (
	// recentWrites is the number of accepted writes that the root names, so
	// that an operator whose response was lost finds its write after others
	// have written on top of it.
	recentWrites = 32
	// keepRetired is the number of versions for which a part stays in the
	// store after the last version that uses it, for nodes that are fetching.
	keepRetired = 16
)

// root is the versioned object that refers to the parts.
type root struct {
	Version       uint64        `json:"version"`
	Recent        []write       `json:"recent"` // newest first; the first made this version
	BaseModels    []string      `json:"base_models"`
	LoadRate      float64       `json:"load_rate"`
	JournalShards int           `json:"journal_shards"`
	Retention     Duration      `json:"retention"`
	GroupsPerPool int           `json:"groups_per_pool"`
	Parts         []string      `json:"parts"`
	Retired       []retiredPart `json:"retired,omitempty"`
}

// write identifies one accepted publication.
type write struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
}

// retiredPart is a part that no longer belongs to the configuration.
type retiredPart struct {
	Digest  string `json:"digest"`
	Version uint64 `json:"version"` // first version without it
}

// storedRoot is a root as it was read. A nil storedRoot stands for none.
type storedRoot struct {
	root
	data     []byte
	object   objectstore.Object
	revision int64 // of the store when it was read
}

func (s *storedRoot) version() uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}

func decodeRoot(data []byte) (root, error) {
	var r root
	if err := decodeJSON(data, &r); err != nil {
		return root{}, err
	}
	if r.Version == 0 || len(r.Recent) == 0 {
		return root{}, errs.New(errs.InvalidConfig, "the root has no version")
	}
	return r, nil
}

// readRoot reads the root through a list, whose answer carries the store's
// revision even when there is no root; the result is then nil.
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

// next returns the root that follows old for a document.
func next(old *storedRoot, d *Document, parts []encodedPart, id string) root {
	r := root{
		Version: old.version() + 1, BaseModels: d.BaseModels, LoadRate: d.LoadRate,
		JournalShards: d.JournalShards, Retention: d.Retention, GroupsPerPool: d.GroupsPerPool,
	}
	used := map[string]bool{}
	for _, p := range parts {
		r.Parts = append(r.Parts, p.digest)
		used[p.digest] = true
	}
	r.Recent = []write{{r.Version, id}}
	if old == nil {
		return r
	}
	r.Recent = append(r.Recent, old.Recent[:min(len(old.Recent), recentWrites-1)]...)
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

func (r *root) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "the root cannot be encoded")
	}
	if len(data) > objectstore.MaxValueBytes {
		return nil, errs.New(errs.TooLarge, "the root is over the store's limit")
	}
	return data, nil
}

// accepted reports whether the write with the id made a version up to r's.
// certain is false when the list of recent writes no longer reaches back.
func (r *root) accepted(version uint64, id string) (accepted, certain bool) {
	for _, w := range r.Recent {
		if w.Version == version {
			return w.ID == id, true
		}
	}
	return false, r.Version < version
}

// document returns the root's scalars and the lists of the parts, which fetch
// returns by digest, and checks them. A part that fetch returns as nil is left
// out. decoded is told the number of adapters of each other part; it may be nil.
func (r *root) document(fetch func(digest string) ([]byte, error), decoded func(digest string, adapters int)) (*Document, error) {
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
		if err := join(d, data); err != nil {
			return nil, err
		}
		if decoded != nil {
			decoded(digest, len(d.Adapters)-before)
		}
	}
	return d, d.Validate()
}
