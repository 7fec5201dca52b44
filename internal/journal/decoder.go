package journal

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// decoder reads msgpack values with limits and retains the first error. After an
// error all reads return zero values.
type decoder struct {
	reader *bytes.Reader
	dec    *msgpack.Decoder
	err    error
}

func newDecoder(data []byte) *decoder {
	reader := bytes.NewReader(data)
	return &decoder{reader: reader, dec: msgpack.NewDecoder(reader)}
}

// fail retains an errs.InvalidMessage error if it is the first one.
func (d *decoder) fail(message string) {
	if d.err == nil {
		d.err = errs.New(errs.InvalidMessage, "journal object: "+message)
	}
}

// checkErr retains an error of the msgpack decoder if it is the first one. A nil
// error has no effect.
func (d *decoder) checkErr(err error, what string) {
	if err != nil && d.err == nil {
		d.err = errs.Wrap(err, errs.InvalidMessage, "journal object: bad "+what)
	}
}

// finish returns the first error. Bytes left after the last value are an error.
func (d *decoder) finish() error {
	if d.err == nil && d.reader.Len() != 0 {
		d.fail("trailing bytes")
	}
	return d.err
}

// arrayLen reads the length of an array, which must not exceed the limit.
func (d *decoder) arrayLen(limit int) int {
	if d.err != nil {
		return 0
	}
	n, err := d.dec.DecodeArrayLen()
	d.checkErr(err, "array length")
	if d.err == nil && (n < 0 || n > limit) {
		d.fail("array length out of range")
	}
	if d.err != nil {
		return 0
	}
	return n
}

// expectArrayLen reads the length of an array, which must be n.
func (d *decoder) expectArrayLen(n int) {
	if got := d.arrayLen(n); got != n {
		d.fail("wrong number of fields")
	}
}

func (d *decoder) uint() uint64 {
	if d.err != nil {
		return 0
	}
	v, err := d.dec.DecodeUint64()
	d.checkErr(err, "number")
	return v
}

// expectUint reads a number, which must be want.
func (d *decoder) expectUint(want uint64, what string) {
	if got := d.uint(); got != want {
		d.fail("unexpected " + what)
	}
}

// millis reads a time or duration in milliseconds, which is never negative.
func (d *decoder) millis() int64 {
	const maxTimeMS = 1 << 50 // later than any real clock; sums of two times cannot overflow
	v := d.uint()
	if v > maxTimeMS {
		d.fail("time out of range")
		return 0
	}
	return int64(v)
}

func (d *decoder) bool() bool {
	if d.err != nil {
		return false
	}
	v, err := d.dec.DecodeBool()
	d.checkErr(err, "flag")
	return v
}

// bytes reads a byte string of at most limit bytes.
func (d *decoder) bytes(limit int) []byte {
	if d.err != nil {
		return nil
	}
	n, err := d.dec.DecodeBytesLen()
	d.checkErr(err, "length")
	if d.err == nil && (n > limit || n > d.reader.Len()) {
		d.fail("length out of range")
	}
	if d.err != nil || n <= 0 {
		return nil
	}
	data := make([]byte, n)
	d.checkErr(d.dec.ReadFull(data), "bytes")
	return data
}

func (d *decoder) hash() (hash [hashBytes]byte) {
	data := d.bytes(hashBytes)
	if len(data) != hashBytes {
		d.fail("wrong hash length")
		return hash
	}
	return [hashBytes]byte(data)
}

func (d *decoder) text() string { return string(d.bytes(maxNameBytes)) }

func (d *decoder) holder() model.Holder {
	return model.Holder{VM: d.text(), Incarnation: model.Incarnation(d.uint())}
}

func (d *decoder) holders() []model.Holder {
	count := d.arrayLen(maxHoldersPerBatch)
	var holders []model.Holder
	for i := 0; i < count && d.err == nil; i++ {
		holders = append(holders, d.holder())
	}
	return holders
}

// holderAt reads an index into holders and returns the holder.
func (d *decoder) holderAt(holders []model.Holder) model.Holder {
	i := d.uint()
	if i >= uint64(len(holders)) {
		d.fail("holder out of range")
		return model.Holder{}
	}
	return holders[i]
}

func (d *decoder) response() rpcapi.StoredResponse {
	const maxStatus = 999
	status := d.uint()
	if status > maxStatus {
		d.fail("status out of range")
	}
	return rpcapi.StoredResponse{
		Status: int(status), ContentType: d.text(), Body: d.bytes(maxResponseBytes), Truncated: d.bool(),
	}
}

func (d *decoder) record(holders []model.Holder) Record {
	r := Record{Kind: RecordKind(d.uint())}
	if r.Kind == RecordTakeover {
		return r
	}
	r.Key = d.hash()
	r.ID.Holder = d.holderAt(holders)
	r.ID.Number = d.uint()
	switch r.Kind {
	case RecordClaim:
		r.Body = d.hash()
	case RecordOutcome:
		r.Unknown = d.bool()
		r.Response = d.response()
	case RecordRelease:
	default:
		d.fail("unknown record kind")
	}
	return r
}
