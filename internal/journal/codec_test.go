package journal

import (
	"bytes"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/rpcapi"
)

// sampleBatch returns a batch with a number of claims.
func sampleBatch(position uint64, claims int) *Batch {
	holder := model.Holder{VM: "vm1", Incarnation: 7}
	b := &Batch{
		Shard: 2, Position: position, TimeMS: 1_700_000_000_000, RetentionMS: 86_400_000,
		WriteID: WriteID{Writer: holder, Sequence: position},
	}
	for i := range claims {
		key := HashKey(rpcapi.ClaimKey{Key: string(rune(i)) + string(rune(position))})
		b.Records = append(b.Records, Record{Kind: RecordClaim, Key: key, ID: rpcapi.ClaimID{Holder: holder, Number: uint64(i)}})
	}
	return b
}

// batchOfAllKinds returns a batch with records of every kind.
func batchOfAllKinds() *Batch {
	b := sampleBatch(5, 2)
	b.Records = append(b.Records, Record{Kind: RecordTakeover},
		Record{Kind: RecordRelease, Key: KeyHash{1}, ID: rpcapi.ClaimID{Holder: model.Holder{VM: "vm2"}, Number: 9}},
		Record{Kind: RecordOutcome, Key: KeyHash{2}, ID: b.Records[0].ID, Unknown: true},
		Record{Kind: RecordOutcome, Key: KeyHash{3}, ID: b.Records[1].ID, Response: rpcapi.StoredResponse{
			Status: 201, ContentType: "application/json", Body: []byte("{}"), Truncated: true,
		}})
	return b
}

// Guards against a record that changes when it is encoded and decoded, and against
// an object that is accepted in another shard or at another position.
func TestBatchRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	data, err := EncodeBatch(batchOfAllKinds())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, err := DecodeBatch(data, 2, 5)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(batchOfAllKinds()))
	for _, place := range [][2]int{{1, 5}, {2, 6}} {
		_, err = DecodeBatch(data, place[0], uint64(place[1]))
		g.Expect(errs.Is(err, errs.InvalidMessage)).To(gomega.BeTrue())
	}
}

// Guards against accepting a truncated, extended or oversized object.
func TestDamagedBatchIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	data, err := EncodeBatch(batchOfAllKinds())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for n := range data {
		_, err = DecodeBatch(data[:n], 2, 5)
		g.Expect(errs.Is(err, errs.InvalidMessage)).To(gomega.BeTrue(), "length %d: %v", n, err)
	}
	_, err = DecodeBatch(append(bytes.Clone(data), 0), 2, 5)
	g.Expect(errs.Is(err, errs.InvalidMessage)).To(gomega.BeTrue())
	_, err = DecodeBatch(make([]byte, objectstore.MaxValueBytes+1), 2, 5)
	g.Expect(errs.Is(err, errs.TooLarge)).To(gomega.BeTrue())
	big := sampleBatch(1, 1)
	big.WriteID.Writer.VM = strings.Repeat("x", objectstore.MaxValueBytes)
	_, err = EncodeBatch(big)
	g.Expect(errs.Is(err, errs.TooLarge)).To(gomega.BeTrue())
}

// Guards against a snapshot of several parts that loses or changes an entry.
func TestSnapshotRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	x := NewIndex()
	for position := uint64(1); position <= 10; position++ {
		b := sampleBatch(position, 3)
		b.Records = append(b.Records, Record{
			Kind: RecordOutcome, Key: b.Records[0].Key, ID: b.Records[0].ID,
			Response: rpcapi.StoredResponse{Status: 200, Body: make([]byte, 200<<10)},
		}, Record{Kind: RecordRelease, Key: b.Records[1].Key, ID: b.Records[1].ID})
		g.Expect(x.Apply(b)).To(gomega.Succeed())
	}
	parts, err := EncodeSnapshot(x, 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(parts)).To(gomega.BeNumerically(">", 1))
	got := NewIndex()
	for _, part := range parts {
		g.Expect(len(part)).To(gomega.BeNumerically("<=", objectstore.MaxValueBytes))
		g.Expect(DecodeSnapshotPart(got, part, 2, 10)).To(gomega.Succeed())
	}
	g.Expect(liveEntries(got)).To(gomega.Equal(liveEntries(x)))
	g.Expect(got.Bytes()).To(gomega.Equal(x.Bytes()))
	g.Expect(DecodeSnapshotPart(NewIndex(), parts[0][:100], 2, 10)).NotTo(gomega.Succeed())
}

// Guards against a decoder that panics, or accepts a batch that cannot be encoded
// and decoded again with the same number of records.
func FuzzDecode(f *testing.F) {
	data, err := EncodeBatch(batchOfAllKinds())
	if err != nil {
		f.Fatal(err)
	}
	x := NewIndex()
	_ = x.Apply(sampleBatch(1, 3))
	parts, _ := EncodeSnapshot(x, 2)
	floor, _ := EncodeFloor(Floor{Position: 9, Snapshot: "s", Parts: 3})
	for _, seed := range [][]byte{data, parts[0], floor, nil, {0xdd, 0xff, 0xff, 0xff, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = DecodeFloor(objectstore.Object{Value: data})
		_ = DecodeSnapshotPart(NewIndex(), data, 2, 1)
		b, err := DecodeBatch(data, 2, 5)
		if err != nil {
			if errs.As(err).Code != errs.InvalidMessage && errs.As(err).Code != errs.TooLarge {
				t.Fatalf("decoder returned an unexpected error code: %v", err)
			}
			return
		}
		again, err := EncodeBatch(b)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := DecodeBatch(again, 2, 5); err != nil || len(second.Records) != len(b.Records) {
			t.Fatalf("cannot decode the batch after encoding it again: %v", err)
		}
	})
}
