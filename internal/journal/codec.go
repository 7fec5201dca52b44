package journal

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/rpcapi"
)

// Limits of what the decoder accepts. They bound the memory that a damaged or
// hostile object can make it allocate.
const (
	formatVersion      = 1
	maxRecordsPerBatch = 1 << 15
	maxHoldersPerBatch = 1 << 12
	maxNameBytes       = 256
	maxResponseBytes   = 256 << 10
)

// encoder writes msgpack values to memory and keeps the first error.
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

func (e *encoder) keep(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *encoder) array(n int)   { e.keep(e.enc.EncodeArrayLen(n)) }
func (e *encoder) uint(v uint64) { e.keep(e.enc.EncodeUint(v)) }
func (e *encoder) int(v int64)   { e.keep(e.enc.EncodeInt(v)) }
func (e *encoder) bool(v bool)   { e.keep(e.enc.EncodeBool(v)) }
func (e *encoder) text(v string) { e.keep(e.enc.EncodeString(v)) }

func (e *encoder) bytes(v []byte) {
	e.keep(e.enc.EncodeBytesLen(len(v)))
	_, err := e.buffer.Write(v)
	e.keep(err)
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

func (e *encoder) result(what string) ([]byte, error) {
	if e.err != nil {
		return nil, errs.Wrap(e.err, errs.Internal, "cannot encode "+what)
	}
	if e.buffer.Len() > objectstore.MaxValueBytes {
		return nil, errs.New(errs.TooLarge, what+" is larger than an object")
	}
	return e.buffer.Bytes(), nil
}

// EncodeBatch returns the bytes of a batch. Errors: errs.TooLarge.
func EncodeBatch(b *Batch) ([]byte, error) {
	e := newEncoder()
	holders, number := holderTable(b.Records)
	e.array(10)
	e.uint(formatVersion)
	e.uint(uint64(b.Shard))
	e.uint(b.Position)
	e.holder(b.Identity.Writer)
	e.uint(b.Identity.Write)
	e.int(b.TimeMS)
	e.int(b.Retention)
	e.array(len(holders))
	for _, h := range holders {
		e.holder(h)
	}
	e.array(len(b.Records))
	for i := range b.Records {
		e.record(&b.Records[i], number)
	}
	return e.result("batch")
}

// holderTable lists each holder once, because most records of a batch share few
// holders.
func holderTable(records []Record) ([]model.Holder, map[model.Holder]int) {
	var holders []model.Holder
	number := make(map[model.Holder]int)
	for i := range records {
		holder := records[i].ID.Holder
		if _, found := number[holder]; !found && records[i].Kind != RecordTakeover {
			number[holder] = len(holders)
			holders = append(holders, holder)
		}
	}
	return holders, number
}

func (e *encoder) record(r *Record, number map[model.Holder]int) {
	e.uint(uint64(r.Kind))
	if r.Kind == RecordTakeover {
		return
	}
	e.bytes(r.Key[:])
	e.uint(uint64(number[r.ID.Holder]))
	e.uint(r.ID.Number)
	switch r.Kind {
	case RecordClaim:
		e.bytes(r.Body[:])
	case RecordOutcome:
		e.bool(r.Unknown)
		e.response(r.Response)
	}
}

// DecodeBatch reads a batch and checks that it belongs to the shard and the
// position. Errors: errs.TooLarge, errs.InvalidMessage.
func DecodeBatch(data []byte, shard int, position uint64) (*Batch, error) {
	if len(data) > objectstore.MaxValueBytes {
		return nil, errs.New(errs.TooLarge, "journal object is too large")
	}
	d := newDecoder(data)
	b := &Batch{}
	d.arrayOf(10)
	d.expect(formatVersion, "format")
	d.expect(uint64(shard), "shard")
	d.expect(position, "position")
	b.Shard, b.Position = shard, position
	b.Identity.Writer = d.holder()
	b.Identity.Write = d.uint()
	b.TimeMS = d.time()
	b.Retention = d.time()
	holders := d.holders()
	count := d.array(maxRecordsPerBatch)
	for i := 0; i < count && d.err == nil; i++ {
		b.Records = append(b.Records, d.record(holders))
	}
	if err := d.finish(); err != nil {
		return nil, err
	}
	return b, nil
}
