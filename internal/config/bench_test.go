package config

import (
	"fmt"
	"runtime"
	"testing"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

var benchSizes = []int{3_000, 30_000, 200_000}

const benchOrganisations = 40

func benchDocument(adapters int) *Document {
	d := &Document{BaseModels: []string{"base-7b"}, LoadRate: 2}
	for n := range benchOrganisations {
		d.Organisations = append(d.Organisations, Organisation{Name: fmt.Sprintf("org-%02d", n), CredentialSHA256: fmt.Sprintf("%064x", n), Share: 1})
	}
	for n := range adapters {
		d.Adapters = append(d.Adapters, Adapter{
			Organisation: fmt.Sprintf("org-%02d", n%benchOrganisations), Name: fmt.Sprintf("shop-%06d", n), BaseModel: "base-7b", Versions: []string{"v1"},
		})
	}
	return d.Normalised()
}

// benchRoot returns the root of a document and its parts by digest.
func benchRoot(b *testing.B, old *storedRoot, d *Document) (root, map[string][]byte) {
	parts, err := split(d)
	if err != nil {
		b.Fatal(err)
	}
	byDigest := make(map[string][]byte, len(parts))
	for _, p := range parts {
		byDigest[p.digest] = p.data
	}
	return next(old, d, parts, "id"), byDigest
}

func fetchFrom(parts map[string][]byte) source {
	return func(digest string) ([]byte, error) {
		if data, found := parts[digest]; found {
			return data, nil
		}
		return nil, errs.New(errs.NotFound, "no part "+digest)
	}
}

func forAdapters(b *testing.B, run func(b *testing.B, adapters int)) {
	for _, adapters := range benchSizes {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			b.ReportAllocs()
			run(b, adapters)
		})
	}
}

// BenchmarkDecodeJSON measures the decoding of an operator's whole document.
func BenchmarkDecodeJSON(b *testing.B) {
	forAdapters(b, func(b *testing.B, adapters int) {
		data, err := benchDocument(adapters).EncodeJSON()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, err := Decode(data); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "document_B")
	})
}

// BenchmarkApplyFirst measures a node's first configuration and its live heap.
func BenchmarkApplyFirst(b *testing.B) {
	forAdapters(b, func(b *testing.B, adapters int) {
		r, parts := benchRoot(b, nil, benchDocument(adapters))
		encoded, err := r.encode()
		if err != nil {
			b.Fatal(err)
		}
		held := 0
		for _, data := range parts {
			held += len(data)
		}
		var a *applied
		before := liveHeap()
		for b.Loop() {
			empty := &applied{configuration: &model.Configuration{}}
			if a, err = empty.advance(r, fetchFrom(parts)); err != nil {
				b.Fatal(err)
			}
		}
		// The encoded parts are shared with the benchmark and are added.
		b.ReportMetric(float64(liveHeap()-before+int64(held)), "heap_B")
		b.ReportMetric(float64(held), "parts_B")
		b.ReportMetric(float64(len(parts)), "parts")
		b.ReportMetric(float64(len(encoded)), "root_B")
		runtime.KeepAlive(a)
	})
}

// BenchmarkApplyChange measures the change of one adapter: time, allocations and
// the bytes that a node fetches (root and changed part).
func BenchmarkApplyChange(b *testing.B) {
	forAdapters(b, func(b *testing.B, adapters int) {
		d := benchDocument(adapters)
		r, parts := benchRoot(b, nil, d)
		a, err := (&applied{configuration: &model.Configuration{}}).advance(r, fetchFrom(parts))
		if err != nil {
			b.Fatal(err)
		}
		changed := *d
		changed.Adapters = append([]Adapter(nil), d.Adapters...)
		changed.Adapters[adapters/2].Versions = []string{"v1", "v2"}
		second, newParts := benchRoot(b, &storedRoot{root: r}, &changed)
		encoded, err := second.encode()
		if err != nil {
			b.Fatal(err)
		}
		fetched := len(encoded)
		for digest, data := range newParts {
			if _, known := parts[digest]; !known {
				fetched += len(data)
			}
		}
		for b.Loop() {
			if _, err := decodeRoot(encoded); err != nil {
				b.Fatal(err)
			}
			if _, err := a.advance(second, fetchFrom(newParts)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(fetched), "fetched_B")
	})
}

func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
