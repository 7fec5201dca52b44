package account

import (
	"sync"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// Bounds of a ledger.
const (
	// MaxOpenRequests is the largest number of requests that wait for their
	// other side. At 200 bytes each this is 10 MB, and 20 s of the traffic of
	// the busiest entry VM at 2,500 requests/s.
	MaxOpenRequests = 50_000
	// MaxOutboxEntries is the largest number of given entries that wait to be
	// handed over to the entry VMs.
	MaxOutboxEntries = 50_000
	// MaxOrganisations is the largest number of rows of a document. A row takes
	// up to 400 bytes, so that a document stays below 1 MB.
	MaxOrganisations = 2_000
	// OtherOrganisations is the row of organisations beyond MaxOrganisations.
	OtherOrganisations = "(other organisations)"
)

// Bounds are the bounds of a ledger. Zero fields take the constants above.
type Bounds struct{ OpenRequests, OutboxEntries, Organisations int }

func (b Bounds) withDefaults() Bounds {
	if b.OpenRequests <= 0 {
		b.OpenRequests = MaxOpenRequests
	}
	if b.OutboxEntries <= 0 {
		b.OutboxEntries = MaxOutboxEntries
	}
	if b.Organisations <= 0 {
		b.Organisations = MaxOrganisations
	}
	return b
}

// Ledger is the account of one VM incarnation. It is safe for concurrent use.
type Ledger struct {
	self   model.Holder
	bounds Bounds
	mu     sync.Mutex
	// document and changed hold the totals: changed is the value of version
	// when the organisation's row was last changed.
	document Document
	version  uint64
	changed  map[string]uint64
	open     *openTable
	outbox   *outbox
	inbox    map[model.Holder]uint64 // number of the last batch taken over
	held     map[model.Holder]*Document
	round    uint64
}

// NewLedger returns an empty ledger for this process's incarnation.
func NewLedger(self model.Holder, bounds Bounds) *Ledger {
	bounds = bounds.withDefaults()
	return &Ledger{
		self: self, bounds: bounds, document: newDocument(self), changed: map[string]uint64{},
		open: newOpenTable(bounds.OpenRequests), outbox: newOutbox(bounds.OutboxEntries),
		inbox: map[model.Holder]uint64{}, held: map[model.Holder]*Document{},
	}
}

// RecordUsed enters what one attempt of a request used. The entry VM calls it
// once per permit that it releases.
func (l *Ledger) RecordUsed(id model.RequestID, organisation, _ string, outcome core.Outcome, usage core.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(Used, organisation, outcome, usage)
	if outcome != core.OutcomeNotSent {
		l.enter(Used, Entry{Request: id, Organisation: organisation, Usage: usage})
	}
}

// RecordGiven enters what a target gave to one attempt of a request. The group's
// owner calls it once per permit that has ended.
func (l *Ledger) RecordGiven(given core.RecordGiven) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(Given, given.Organisation, given.Outcome, given.Usage)
	if given.Outcome == core.OutcomeNotSent {
		return
	}
	entry := Entry{Request: given.ID, Organisation: given.Organisation, Usage: given.Usage}
	// Without a holder, as for a permit of an earlier epoch, only the report can
	// bring the two sides together.
	if given.Holder == l.self || given.Holder.VM == "" {
		l.enter(Given, entry)
		return
	}
	if dropped, full := l.outbox.add(given.Holder, entry); full {
		l.raise(dropped.Organisation, DroppedGiven, 1)
	}
}

// count raises the totals of one record.
func (l *Ledger) count(side Side, organisation string, outcome core.Outcome, usage core.Usage) {
	l.raise(organisation, RequestsWith(side, outcome), 1)
	l.raise(organisation, PromptTokens(side), uint64(max(usage.PromptTokens, 0)))
	l.raise(organisation, GeneratedTokens(side), uint64(max(usage.GeneratedTokens, 0)))
}

// raise adds to one counter.
func (l *Ledger) raise(organisation string, counter Counter, delta uint64) {
	if delta == 0 {
		return
	}
	row := l.document.Rows[organisation]
	if row == nil && len(l.document.Rows) >= l.bounds.Organisations {
		organisation = OtherOrganisations
		row = l.document.Rows[organisation]
	}
	if row == nil {
		row = Row{}
		l.document.Rows[organisation] = row
	}
	row[counter] += delta
	l.version++
	l.changed[organisation] = l.version
}

// enter adds an entry to the open requests.
func (l *Ledger) enter(side Side, entry Entry) {
	if dropped, full := l.open.add(side, entry, l.round); full {
		l.raise(dropped.Organisation, DroppedOpen, 1)
	}
}

// Document returns a copy of the totals.
func (l *Ledger) Document() Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.document.clone()
}

// since returns the rows that changed after a version, and the present version.
func (l *Ledger) since(version uint64) (Document, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := newDocument(l.self)
	for organisation, row := range l.document.Rows {
		if l.changed[organisation] > version {
			part.Rows[organisation] = row
		}
	}
	return part.clone(), l.version
}

// OpenCount returns the number of requests that wait for their other side.
func (l *Ledger) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open.requests)
}
