package account

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// RollupPrefix is the prefix of the keys of roll-ups. A reader of the whole
// account reads Prefix first and RollupPrefix afterwards at a revision that is not
// older, so that it misses no document that is moved meanwhile.
const RollupPrefix = "usage-rollups/"

// MaxPending bounds the documents that one roll-up keeps unfolded, so that it
// stays far below the store's 1 MiB: a document of 300 organisations with twelve
// counters has about 100 KB.
const MaxPending = 8

// Pending is a document that was moved into a roll-up.
type Pending struct {
	Document Document  `json:"document"`
	Since    time.Time `json:"since"` // of the last change
}

// Rollup holds the counters of the gone incarnations of one VM. Moving a
// document in takes the maximum of each counter, so that repeats change
// nothing; a document is added to the totals only once, by the conditional write
// that removes it from Pending.
type Rollup struct {
	Totals  Document  `json:"totals"` // Totals.Folded is the newest folded incarnation
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

// Encode returns the roll-up as it is stored, as the next write of a VM.
func (r *Rollup) Encode(writer model.Holder) ([]byte, error) {
	r.Totals.Writer, r.Totals.Write = writer, r.Totals.Write+1
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode a usage roll-up")
	}
	return value, nil
}

// Documents returns the totals and the pending documents, for Reconcile.
func (r Rollup) Documents() []Document {
	documents := []Document{r.Totals}
	for _, pending := range r.Pending {
		documents = append(documents, pending.Document)
	}
	return documents
}

// Covers reports whether all counters of a document are in Pending.
func (r Rollup) Covers(document Document) bool {
	i := r.find(document.Holder)
	if i < 0 {
		return false
	}
	known := r.Pending[i].Document.clone()
	return !known.merge(document)
}

func (r Rollup) find(holder model.Holder) int {
	return slices.IndexFunc(r.Pending, func(p Pending) bool { return p.Document.Holder == holder })
}

// Move takes a document in and reports whether the roll-up changed. A document
// of a folded incarnation is refused, because its counters cannot be told from
// those in the totals; Reconcile shows its incarnation as unclean.
func (r *Rollup) Move(document Document, now time.Time) bool {
	if document.Holder.Incarnation <= r.Totals.Folded || r.Covers(document) {
		return false
	}
	i := r.find(document.Holder)
	if i < 0 {
		if r.full(document.Holder.Incarnation) {
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

// full reports whether no further incarnation is taken in. One that is older
// than a pending one always is, because it keeps that one from being folded.
func (r *Rollup) full(incarnation model.Incarnation) bool {
	n := len(r.Pending)
	return n >= MaxPending && incarnation > r.Pending[n-1].Document.Holder.Incarnation
}

// Fold adds the documents that have been pending since before a time to the
// totals, in the order of their incarnations, and reports whether it did. stored
// are the VM's incarnations that still have a document in the store; only older
// ones are folded, so that Folded needs a single number.
func (r *Rollup) Fold(before time.Time, stored []model.Incarnation) bool {
	folded := 0
	for _, pending := range r.Pending {
		incarnation := pending.Document.Holder.Incarnation
		newer := func(other model.Incarnation) bool { return other > r.Totals.Folded && other <= incarnation }
		if pending.Since.After(before) || slices.ContainsFunc(stored, newer) {
			break
		}
		r.add(pending.Document)
		folded++
	}
	r.Pending = r.Pending[folded:]
	return folded > 0
}

func (r *Rollup) add(document Document) {
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

// dropFolded empties documents whose incarnation is part of their VM's totals.
// They are late: what they hold beyond the totals is unknown.
func dropFolded(documents map[model.Holder]*Document) {
	for holder, document := range documents {
		totals := documents[model.Holder{VM: holder.VM}]
		if totals != nil && holder.Incarnation > 0 && holder.Incarnation <= totals.Folded {
			document.Rows, document.Final = map[string]Row{}, false
		}
	}
}
