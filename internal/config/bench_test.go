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

// benchDocument returns a normalised document with the given number of
// adapters.
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

// benchRoot returns the root that follows old for document d, and its encoded
// parts by digest.
func benchRoot(b *testing.B, old *storedRoot, d *Document) (root, map[string][]byte) {
	parts, err := splitDocument(d)
	if err != nil {
		b.Fatal(err)
	}
	byDigest := make(map[string][]byte, len(parts))
	for _, p := range parts {
		byDigest[p.digest] = p.data
	}
	return nextRoot(old, d, parts, "id"), byDigest
}

// fetchFromMap returns a partFetcher that serves the given parts.
func fetchFromMap(parts map[string][]byte) partFetcher {
	return func(digest string) ([]byte, error) {
		if data, found := parts[digest]; found {
			return data, nil
		}
		return nil, errs.New(errs.NotFound, "no part "+digest)
	}
}

// runForSizes runs a sub-benchmark for each number of adapters in benchSizes.
func runForSizes(b *testing.B, run func(b *testing.B, adapters int)) {
	for _, adapters := range benchSizes {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			b.ReportAllocs()
			run(b, adapters)
		})
	}
}

// BenchmarkDecodeJSON measures decoding of a whole document in JSON.
func BenchmarkDecodeJSON(b *testing.B) {
	runForSizes(b, func(b *testing.B, adapters int) {
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

// BenchmarkApplyFirst measures applying the first configuration of a node, and
// the heap that the configuration occupies.
func BenchmarkApplyFirst(b *testing.B) {
	runForSizes(b, func(b *testing.B, adapters int) {
		r, parts := benchRoot(b, nil, benchDocument(adapters))
		encoded, err := r.encode()
		if err != nil {
			b.Fatal(err)
		}
		partBytes := 0
		for _, data := range parts {
			partBytes += len(data)
		}
		var a *appliedConfig
		before := liveHeap()
		for b.Loop() {
			empty := &appliedConfig{configuration: &model.Configuration{}}
			if a, err = empty.withRoot(r, fetchFromMap(parts)); err != nil {
				b.Fatal(err)
			}
		}
		// The encoded parts were allocated before the first measurement of the
		// heap, so their size is added.
		b.ReportMetric(float64(liveHeap()-before+int64(partBytes)), "heap_B")
		b.ReportMetric(float64(partBytes), "parts_B")
		b.ReportMetric(float64(len(parts)), "parts")
		b.ReportMetric(float64(len(encoded)), "root_B")
		runtime.KeepAlive(a)
	})
}

// BenchmarkApplyChange measures applying the change of one adapter: time,
// allocations and the bytes that a node fetches (the root and the changed
// part).
func BenchmarkApplyChange(b *testing.B) {
	runForSizes(b, func(b *testing.B, adapters int) {
		d := benchDocument(adapters)
		r, parts := benchRoot(b, nil, d)
		a, err := (&appliedConfig{configuration: &model.Configuration{}}).withRoot(r, fetchFromMap(parts))
		if err != nil {
			b.Fatal(err)
		}
		changed := *d
		changed.Adapters = append([]Adapter(nil), d.Adapters...)
		changed.Adapters[adapters/2].Versions = []string{"v1", "v2"}
		changedRoot, newParts := benchRoot(b, &storedRoot{root: r}, &changed)
		encoded, err := changedRoot.encode()
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
			if _, err := a.withRoot(changedRoot, fetchFromMap(newParts)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(fetched), "fetched_B")
	})
}

// liveHeap returns the size of the heap in bytes after a garbage collection.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
