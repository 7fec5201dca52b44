package account

import (
	"encoding/json"
	"maps"
	"strconv"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Side is one of the two sides of the account.
type Side string

// Sides of the account.
const (
	Used  Side = "used"
	Given Side = "given"
)

// Counter names one number of a row. It rises with each record.
type Counter string

// Counters of requests are made by RequestsWith; these are the others.
const (
	// DroppedOpen counts open requests dropped at MaxOpenRequests.
	DroppedOpen Counter = "dropped_open_requests"
	// DroppedGiven counts given entries dropped at MaxOutboxEntries.
	DroppedGiven Counter = "dropped_given_entries"
)

// RequestsWith is the counter of a side's requests with an outcome.
func RequestsWith(side Side, outcome core.Outcome) Counter {
	return Counter(string(side) + "_requests_" + string(outcome))
}

// PromptTokens is the counter of a side's prompt tokens.
func PromptTokens(side Side) Counter { return Counter(side + "_prompt_tokens") }

// GeneratedTokens is the counter of a side's generated tokens.
func GeneratedTokens(side Side) Counter { return Counter(side + "_generated_tokens") }

// Row holds the counters of one organisation.
type Row map[Counter]uint64

// mergeRow raises the counters of a row to those of another. It reports whether
// any rose.
func mergeRow(into, from Row) bool {
	rose := false
	for counter, value := range from {
		if value > into[counter] {
			into[counter], rose = value, true
		}
	}
	return rose
}

// Document holds the counters of one VM incarnation, or a part of its rows.
type Document struct {
	Holder model.Holder `json:"holder"`
	Writer model.Holder `json:"writer"`       // the holder, or a peer that writes for it
	Write  uint64       `json:"write_number"` // of the writer
	Final  bool         `json:"final"`        // written after the last record
	// Folded is set in the totals of a roll-up: the documents of this VM up to this
	// incarnation are part of them.
	Folded model.Incarnation `json:"folded,omitempty"`
	Rows   map[string]Row    `json:"organisations"`
}

// newDocument returns an empty document.
func newDocument(holder model.Holder) Document {
	return Document{Holder: holder, Rows: map[string]Row{}}
}

// merge raises the counters to those of another document of the same
// incarnation. It reports whether anything changed.
func (d *Document) merge(from Document) bool {
	changed := from.Final && !d.Final
	d.Final = d.Final || from.Final
	d.Folded = max(d.Folded, from.Folded)
	for organisation, row := range from.Rows {
		if d.Rows[organisation] == nil {
			d.Rows[organisation] = Row{}
		}
		changed = mergeRow(d.Rows[organisation], row) || changed
	}
	return changed
}

// clone returns a copy that shares nothing.
func (d *Document) clone() Document {
	c := *d
	c.Rows = make(map[string]Row, len(d.Rows))
	for organisation, row := range d.Rows {
		c.Rows[organisation] = maps.Clone(row)
	}
	return c
}

// Prefix is the prefix of the keys in the store.
const Prefix = "usage/"

// Key returns the key of an incarnation's document in the store.
func Key(holder model.Holder) string {
	return Prefix + holder.VM + "/" + strconv.FormatUint(uint64(holder.Incarnation), 10)
}

// Parse decodes a document from the store. It fails with errs.InvalidMessage.
func Parse(value []byte) (Document, error) {
	var document Document
	if err := json.Unmarshal(value, &document); err != nil {
		return Document{}, errs.Wrap(err, errs.InvalidMessage, "decode a usage document")
	}
	if document.Rows == nil {
		document.Rows = map[string]Row{}
	}
	return document, nil
}

func (d *Document) encode() ([]byte, error) {
	value, err := json.Marshal(d)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode a usage document")
	}
	return value, nil
}
