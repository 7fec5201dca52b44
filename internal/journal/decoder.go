package journal

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// decoder reads msgpack values with limits and keeps the first error. After an
// error every read returns a zero value.
type decoder struct {
	reader *bytes.Reader
	dec    *msgpack.Decoder
	err    error
}

func newDecoder(data []byte) *decoder {
	reader := bytes.NewReader(data)
	return &decoder{reader: reader, dec: msgpack.NewDecoder(reader)}
}

func (d *decoder) fail(message string) {
	if d.err == nil {
		d.err = errs.New(errs.InvalidMessage, "journal object: "+message)
	}
}

func (d *decoder) wrap(err error, what string) {
	if err != nil && d.err == nil {
		d.err = errs.Wrap(err, errs.InvalidMessage, "journal object: bad "+what)
	}
}

// finish reports the first error; bytes after the value are an error.
func (d *decoder) finish() error {
	if d.err == nil && d.reader.Len() != 0 {
		d.fail("trailing bytes")
	}
	return d.err
}

func (d *decoder) array(limit int) int {
	if d.err != nil {
		return 0
	}
	n, err := d.dec.DecodeArrayLen()
	d.wrap(err, "array length")
	if d.err == nil && (n < 0 || n > limit) {
		d.fail("array length out of range")
	}
	if d.err != nil {
		return 0
	}
	return n
}

func (d *decoder) arrayOf(n int) {
	if got := d.array(n); got != n {
		d.fail("wrong number of fields")
	}
}

func (d *decoder) uint() uint64 {
	if d.err != nil {
		return 0
	}
	v, err := d.dec.DecodeUint64()
	d.wrap(err, "number")
	return v
}

func (d *decoder) expect(want uint64, what string) {
	if got := d.uint(); got != want {
		d.fail("unexpected " + what)
	}
}

// time reads a time or duration in milliseconds, which is never negative.
func (d *decoder) time() int64 {
	const maxTimeMS = 1 << 50 // far beyond any real clock; sums cannot overflow
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
	d.wrap(err, "flag")
	return v
}

func (d *decoder) bytes(limit int) []byte {
	if d.err != nil {
		return nil
	}
	n, err := d.dec.DecodeBytesLen()
	d.wrap(err, "length")
	if d.err == nil && (n > limit || n > d.reader.Len()) {
		d.fail("length out of range")
	}
	if d.err != nil || n <= 0 {
		return nil
	}
	data := make([]byte, n)
	d.wrap(d.dec.ReadFull(data), "bytes")
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
	count := d.array(maxHoldersPerBatch)
	var holders []model.Holder
	for i := 0; i < count && d.err == nil; i++ {
		holders = append(holders, d.holder())
	}
	return holders
}

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
