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
	// maxPartBytes is the largest size of the entries in one part. It is half
	// of the store's limit, so that the JSON envelope and the last entry always
	// fit.
	maxPartBytes = 512 << 10
	// meanPartEntries is the mean number of entries between two part
	// boundaries. At about 100 bytes per adapter, parts are about 50 KiB, so a
	// change of one adapter writes one such part, and 200,000 adapters give 400
	// digests in the root.
	meanPartEntries = 512
)

// part contains a range of entries of one of a document's lists.
type part struct {
	Organisations []Organisation `json:"organisations,omitempty"`
	Adapters      []Adapter      `json:"adapters,omitempty"`
	Kinds         []Kind         `json:"kinds,omitempty"`
}

// encodedPart is an encoded part with the digest under which it is stored.
type encodedPart struct {
	digest string
	data   []byte
}

// digestOf returns the SHA-256 of data in hexadecimal.
func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// splitDocument splits the lists of a normalised document into parts. The same
// document always gives the same parts.
func splitDocument(d *Document) ([]encodedPart, error) {
	var parts []encodedPart
	var firstErr error
	add := func(listParts []encodedPart, err error) {
		parts = append(parts, listParts...)
		if firstErr == nil {
			firstErr = err
		}
	}
	add(splitList("organisations", d.Organisations, func(o Organisation) string { return o.Name }))
	add(splitList("adapters", d.Adapters, Adapter.Key))
	add(splitList("kinds", d.Kinds, Kind.Key))
	return parts, firstErr
}

// splitList splits one list into parts. A part ends after an entry whose key
// hash is a multiple of meanPartEntries, or before an entry that would exceed
// maxPartBytes.
func splitList[T any](listName string, items []T, key func(T) string) ([]encodedPart, error) {
	var parts []encodedPart
	var entries [][]byte
	size := 0
	flush := func() {
		if len(entries) == 0 {
			return
		}
		data := append([]byte(`{"`+listName+`":[`), bytes.Join(entries, []byte(","))...)
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
			flush()
		}
		entries = append(entries, data)
		size += len(data) + 1
		if xxhash.Sum64String(key(item))%meanPartEntries == 0 {
			flush()
		}
	}
	flush()
	return parts, nil
}

// appendPart decodes a part and appends its entries to the lists of a document.
func appendPart(d *Document, data []byte) error {
	var p part
	if err := decodeJSON(data, &p); err != nil {
		return err
	}
	d.Organisations = append(d.Organisations, p.Organisations...)
	d.Adapters = append(d.Adapters, p.Adapters...)
	d.Kinds = append(d.Kinds, p.Kinds...)
	return nil
}
