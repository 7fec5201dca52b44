package journal

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/rpcapi"
)

// Limits of what the decoder accepts. They bound the memory that it allocates for
// a damaged or malicious object.
const (
	formatVersion      = 1
	maxRecordsPerBatch = 1 << 15
	maxHoldersPerBatch = 1 << 12
	maxNameBytes       = 256
	maxResponseBytes   = 256 << 10
)

// encoder writes msgpack values to memory and retains the first error.
type encoder struct {
	buffer bytes.Buffer
	enc    *msgpack.Encoder
	err    error
}

func newEncoder() *encoder {
	e := &encoder{}
	e.enc = msgpack.NewEncoder(&e.buffer)
	return e
}

// setErr retains the error if it is the first one.
func (e *encoder) setErr(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *encoder) arrayLen(n int) { e.setErr(e.enc.EncodeArrayLen(n)) }
func (e *encoder) uint(v uint64)  { e.setErr(e.enc.EncodeUint(v)) }
func (e *encoder) int(v int64)    { e.setErr(e.enc.EncodeInt(v)) }
func (e *encoder) bool(v bool)    { e.setErr(e.enc.EncodeBool(v)) }
func (e *encoder) text(v string)  { e.setErr(e.enc.EncodeString(v)) }

func (e *encoder) bytes(v []byte) {
	e.setErr(e.enc.EncodeBytesLen(len(v)))
	_, err := e.buffer.Write(v)
	e.setErr(err)
}

func (e *encoder) holder(h model.Holder) {
	e.text(h.VM)
	e.uint(uint64(h.Incarnation))
}

func (e *encoder) response(r rpcapi.StoredResponse) {
	e.int(int64(r.Status))
	e.text(r.ContentType)
	e.bytes(r.Body)
	e.bool(r.Truncated)
}

// result returns the encoded bytes. Errors: errs.Internal, errs.TooLarge when
// they exceed the size of a store object.
func (e *encoder) result(what string) ([]byte, error) {
	if e.err != nil {
		return nil, errs.Wrap(e.err, errs.Internal, "cannot encode "+what)
	}
	if e.buffer.Len() > objectstore.MaxValueBytes {
		return nil, errs.New(errs.TooLarge, what+" exceeds the size limit of a store object")
	}
	return e.buffer.Bytes(), nil
}

// EncodeBatch returns the encoding of a batch. Errors: errs.Internal,
// errs.TooLarge.
func EncodeBatch(b *Batch) ([]byte, error) {
	e := newEncoder()
	holders, holderIndexes := holderTable(b.Records)
	e.arrayLen(10)
	e.uint(formatVersion)
	e.uint(uint64(b.Shard))
	e.uint(b.Position)
	e.holder(b.WriteID.Writer)
	e.uint(b.WriteID.Sequence)
	e.int(b.TimeMS)
	e.int(b.RetentionMS)
	e.arrayLen(len(holders))
	for _, h := range holders {
		e.holder(h)
	}
	e.arrayLen(len(b.Records))
	for i := range b.Records {
		e.record(&b.Records[i], holderIndexes)
	}
	return e.result("batch")
}

// holderTable returns each holder of the records once, and the index of each in
// this list. Records refer to holders by index, because most records of a batch
// share few holders.
func holderTable(records []Record) ([]model.Holder, map[model.Holder]int) {
	var holders []model.Holder
	holderIndexes := make(map[model.Holder]int)
	for i := range records {
		holder := records[i].ID.Holder
		if _, found := holderIndexes[holder]; !found && records[i].Kind != RecordTakeover {
			holderIndexes[holder] = len(holders)
			holders = append(holders, holder)
		}
	}
	return holders, holderIndexes
}

func (e *encoder) record(r *Record, holderIndexes map[model.Holder]int) {
	e.uint(uint64(r.Kind))
	if r.Kind == RecordTakeover {
		return
	}
	e.bytes(r.Key[:])
	e.uint(uint64(holderIndexes[r.ID.Holder]))
	e.uint(r.ID.Number)
	switch r.Kind {
	case RecordClaim:
		e.bytes(r.Body[:])
	case RecordOutcome:
		e.bool(r.Unknown)
		e.response(r.Response)
	}
}

// DecodeBatch decodes a batch and checks that it belongs to the shard and the
// position. Errors: errs.TooLarge, errs.InvalidMessage.
func DecodeBatch(data []byte, shard int, position uint64) (*Batch, error) {
	if len(data) > objectstore.MaxValueBytes {
		return nil, errs.New(errs.TooLarge, "journal object is too large")
	}
	d := newDecoder(data)
	b := &Batch{}
	d.expectArrayLen(10)
	d.expectUint(formatVersion, "format")
	d.expectUint(uint64(shard), "shard")
	d.expectUint(position, "position")
	b.Shard, b.Position = shard, position
	b.WriteID.Writer = d.holder()
	b.WriteID.Sequence = d.uint()
	b.TimeMS = d.millis()
	b.RetentionMS = d.millis()
	holders := d.holders()
	count := d.arrayLen(maxRecordsPerBatch)
	for i := 0; i < count && d.err == nil; i++ {
		b.Records = append(b.Records, d.record(holders))
	}
	if err := d.finish(); err != nil {
		return nil, err
	}
	return b, nil
}
