package account

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// RollupPrefix is the prefix of the keys of roll-ups in the store. To miss no
// document that is moved meanwhile, a reader of all usage reads Prefix first
// and then RollupPrefix, at a revision that is not older.
const RollupPrefix = "usage-rollups/"

// MaxPending is the largest number of documents that a roll-up usually keeps
// pending, so that it stays far below the 1 MiB limit of the store: a document
// of 300 organisations with twelve counters has about 100 KB. A document older
// than the newest pending one is added even beyond it.
const MaxPending = 8

// Pending is a document that was moved into a roll-up but is not yet added to
// its totals.
type Pending struct {
	Document Document  `json:"document"`
	Since    time.Time `json:"since"` // time of its last change
}

// Rollup holds the counters of the incarnations of one VM that are gone.
// AddPending merges by taking the greater value of each counter, so that
// repeats change nothing. A document is added to the totals only once, by the
// conditional write that removes it from Pending.
type Rollup struct {
	Totals  Document  `json:"totals"` // Totals.Folded is the newest incarnation that they include
	Pending []Pending `json:"pending"`
}

// RollupKey returns the key of a VM's roll-up in the store.
func RollupKey(vm string) string { return RollupPrefix + vm }

// NewRollup returns an empty roll-up.
func NewRollup(vm string) Rollup {
	totals := newDocument(model.Holder{VM: vm})
	totals.Final = true
	return Rollup{Totals: totals}
}

// ParseRollup decodes a roll-up. It fails with errs.InvalidMessage.
func ParseRollup(value []byte) (Rollup, error) {
	var r Rollup
	if err := json.Unmarshal(value, &r); err != nil {
		return Rollup{}, errs.Wrap(err, errs.InvalidMessage, "decode a usage roll-up")
	}
	if r.Totals.Rows == nil {
		r.Totals.Rows = map[string]Row{}
	}
	return r, nil
}

// Encode increments the number of the write, sets the writer and returns the
// roll-up as it is stored.
func (r *Rollup) Encode(writer model.Holder) ([]byte, error) {
	r.Totals.Writer, r.Totals.Write = writer, r.Totals.Write+1
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode a usage roll-up")
	}
	return value, nil
}

// Documents returns the totals and the pending documents as input for
// Reconcile.
func (r Rollup) Documents() []Document {
	documents := []Document{r.Totals}
	for _, pending := range r.Pending {
		documents = append(documents, pending.Document)
	}
	return documents
}

// Covers reports whether Pending has all counters of a document.
func (r Rollup) Covers(document Document) bool {
	i := r.find(document.Holder)
	if i < 0 {
		return false
	}
	pending := r.Pending[i].Document.clone()
	return !pending.merge(document)
}

// find returns the index in Pending of the document of an incarnation, or -1.
func (r Rollup) find(holder model.Holder) int {
	return slices.IndexFunc(r.Pending, func(p Pending) bool { return p.Document.Holder == holder })
}

// AddPending merges a document into Pending and reports whether the roll-up
// changed. It rejects a document of an incarnation that was already folded,
// because its counters cannot be told apart from those in the totals; Reconcile
// lists its incarnation as Unclean.
func (r *Rollup) AddPending(document Document, now time.Time) bool {
	if document.Holder.Incarnation <= r.Totals.Folded || r.Covers(document) {
		return false
	}
	i := r.find(document.Holder)
	if i < 0 {
		if r.rejects(document.Holder.Incarnation) {
			return false
		}
		r.Pending = append(r.Pending, Pending{Document: newDocument(document.Holder)})
		i = len(r.Pending) - 1
	}
	r.Pending[i].Document.merge(document)
	r.Pending[i].Since = now
	slices.SortFunc(r.Pending, func(a, b Pending) int {
		return cmp.Compare(a.Document.Holder.Incarnation, b.Document.Holder.Incarnation)
	})
	return true
}

// rejects reports whether Pending has no room for the document of another
// incarnation. One older than the newest pending document is always accepted,
// because its stored document keeps newer ones from being folded.
func (r *Rollup) rejects(incarnation model.Incarnation) bool {
	n := len(r.Pending)
	return n >= MaxPending && incarnation > r.Pending[n-1].Document.Holder.Incarnation
}

// Fold adds the pending documents that have not changed after the time before
// to the totals, in the order of their incarnations. It reports whether it
// added any. stored lists the incarnations of the VM that still have a document
// of their own in the store. An incarnation is folded only if no stored one is
// older or the same, so that the single number Folded tells which are included.
func (r *Rollup) Fold(before time.Time, stored []model.Incarnation) bool {
	folded := 0
	for _, pending := range r.Pending {
		incarnation := pending.Document.Holder.Incarnation
		notFolded := func(other model.Incarnation) bool { return other > r.Totals.Folded && other <= incarnation }
		if pending.Since.After(before) || slices.ContainsFunc(stored, notFolded) {
			break
		}
		r.addToTotals(pending.Document)
		folded++
	}
	r.Pending = r.Pending[folded:]
	return folded > 0
}

// addToTotals adds the counters of a document to the totals.
func (r *Rollup) addToTotals(document Document) {
	for organisation, row := range document.Rows {
		if r.Totals.Rows[organisation] == nil {
			r.Totals.Rows[organisation] = Row{}
		}
		for counter, value := range row {
			r.Totals.Rows[organisation][counter] += value
		}
	}
	r.Totals.Final = r.Totals.Final && document.Final
	r.Totals.Folded = document.Holder.Incarnation
}

// clearFolded removes the counters of documents whose incarnation is included
// in the totals of their VM, and marks them as not final. Such a document was
// written late, and how much of it the totals include is unknown.
func clearFolded(documents map[model.Holder]*Document) {
	for holder, document := range documents {
		totals := documents[model.Holder{VM: holder.VM}]
		if totals != nil && holder.Incarnation > 0 && holder.Incarnation <= totals.Folded {
			document.Rows, document.Final = map[string]Row{}, false
		}
	}
}
