package account

import (
	"encoding/json"
	"maps"
	"strconv"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Side is one of the two sides that are recorded for every request.
type Side string

const (
	// Used is the side that the entry VM records.
	Used Side = "used"
	// Given is the side that the group owner records.
	Given Side = "given"
)

// Counter is the name of a counter in a row. Counters never decrease.
type Counter string

// Counters of dropped entries. The names of all other counters are returned by
// RequestsCounter, PromptTokensCounter and GeneratedTokensCounter.
const (
	// DroppedOpenRequests counts the open requests dropped at MaxOpenRequests.
	DroppedOpenRequests Counter = "dropped_open_requests"
	// DroppedGivenEntries counts the given entries dropped at MaxOutboxEntries.
	DroppedGivenEntries Counter = "dropped_given_entries"
)

// RequestsCounter returns the name of the counter of the attempts of a side
// that ended with an outcome.
func RequestsCounter(side Side, outcome core.Outcome) Counter {
	return Counter(string(side) + "_requests_" + string(outcome))
}

// PromptTokensCounter returns the name of the counter of the prompt tokens of a
// side.
func PromptTokensCounter(side Side) Counter { return Counter(side + "_prompt_tokens") }

// GeneratedTokensCounter returns the name of the counter of the generated
// tokens of a side.
func GeneratedTokensCounter(side Side) Counter { return Counter(side + "_generated_tokens") }

// Row holds the counters of one organisation.
type Row map[Counter]uint64

// mergeCounters sets each counter of dst to the greater of its values in dst
// and src. It reports whether any counter of dst increased.
func mergeCounters(dst, src Row) bool {
	increased := false
	for counter, value := range src {
		if value > dst[counter] {
			dst[counter], increased = value, true
		}
	}
	return increased
}

// Document holds the counters of one VM incarnation, or some of its rows. It is
// stored as JSON and sent to peers by gob.
type Document struct {
	Holder model.Holder `json:"holder"`       // incarnation that recorded the counters
	Writer model.Holder `json:"writer"`       // incarnation that wrote the document: the holder or a peer
	Write  uint64       `json:"write_number"` // number of this write, counted by the writer
	Final  bool         `json:"final"`        // the holder will record nothing more
	// Folded is set only in the totals of a Rollup: they include the documents
	// of this VM up to and including this incarnation.
	Folded model.Incarnation `json:"folded,omitempty"`
	Rows   map[string]Row    `json:"organisations"` // counters by organisation
}

// newDocument returns a document without rows.
func newDocument(holder model.Holder) Document {
	return Document{Holder: holder, Rows: map[string]Row{}}
}

// merge merges the counters of another document of the same incarnation. It
// reports whether d changed.
func (d *Document) merge(other Document) bool {
	changed := other.Final && !d.Final
	d.Final = d.Final || other.Final
	d.Folded = max(d.Folded, other.Folded)
	for organisation, row := range other.Rows {
		if d.Rows[organisation] == nil {
			d.Rows[organisation] = Row{}
		}
		changed = mergeCounters(d.Rows[organisation], row) || changed
	}
	return changed
}

// clone returns a deep copy of the document.
func (d *Document) clone() Document {
	c := *d
	c.Rows = make(map[string]Row, len(d.Rows))
	for organisation, row := range d.Rows {
		c.Rows[organisation] = maps.Clone(row)
	}
	return c
}

// Prefix is the prefix of the keys of documents in the store.
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
