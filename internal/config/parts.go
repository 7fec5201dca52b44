package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/errs"
)

const (
	// maxPartBytes is half of the store's limit, so that the envelope and the
	// last entry always fit.
	maxPartBytes = 512 << 10
	// meanPartEntries is the mean number of entries between two cuts. About
	// 100 bytes per adapter give parts of about 50 KiB, so a change of one
	// adapter writes one such part, and 200,000 adapters give 400 digests in
	// the root.
	meanPartEntries = 512
)

// part is one piece of a document's lists.
type part struct {
	Organisations []Organisation `json:"organisations,omitempty"`
	Adapters      []Adapter      `json:"adapters,omitempty"`
	Kinds         []Kind         `json:"kinds,omitempty"`
}

// encodedPart is a part with its address.
type encodedPart struct {
	digest string
	data   []byte
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// split cuts the lists of a normalised document into parts. The same document
// always gives the same parts.
func split(d *Document) ([]encodedPart, error) {
	var parts []encodedPart
	var first error
	add := func(more []encodedPart, err error) {
		parts = append(parts, more...)
		if first == nil {
			first = err
		}
	}
	add(splitList("organisations", d.Organisations, func(o Organisation) string { return o.Name }))
	add(splitList("adapters", d.Adapters, Adapter.Key))
	add(splitList("kinds", d.Kinds, Kind.Key))
	return parts, first
}

func splitList[T any](name string, items []T, key func(T) string) ([]encodedPart, error) {
	var parts []encodedPart
	var entries [][]byte
	size := 0
	cut := func() {
		if len(entries) == 0 {
			return
		}
		data := append([]byte(`{"`+name+`":[`), bytes.Join(entries, []byte(","))...)
		data = append(data, "]}"...)
		parts = append(parts, encodedPart{digestOf(data), data})
		entries, size = nil, 0
	}
	for _, item := range items {
		data, err := json.Marshal(item)
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "an entry cannot be encoded")
		}
		if size+len(data) > maxPartBytes {
			cut()
		}
		entries = append(entries, data)
		size += len(data) + 1
		if xxhash.Sum64String(key(item))%meanPartEntries == 0 {
			cut()
		}
	}
	cut()
	return parts, nil
}

// join adds the lists of an encoded part to a document.
func join(d *Document, data []byte) error {
	var p part
	if err := decodeJSON(data, &p); err != nil {
		return err
	}
	d.Organisations = append(d.Organisations, p.Organisations...)
	d.Adapters = append(d.Adapters, p.Adapters...)
	d.Kinds = append(d.Kinds, p.Kinds...)
	return nil
}
