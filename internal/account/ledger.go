package account

import (
	"sync"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// Bounds of a ledger.
const (
	// MaxOpenRequests is the largest number of requests that wait for the
	// entries of their other side. At 200 bytes each they take 10 MB, and at
	// 2,500 requests/s they cover 20 s of the traffic of the busiest entry VM.
	MaxOpenRequests = 50_000
	// MaxOutboxEntries is the largest number of given entries that wait to be
	// sent to the entry VMs.
	MaxOutboxEntries = 50_000
	// MaxOrganisations is the largest number of organisations in a document,
	// not counting OtherOrganisations. A row takes up to 400 bytes, so that a
	// document stays below 1 MB.
	MaxOrganisations = 2_000
	// OtherOrganisations is the name of the row that counts all organisations
	// beyond MaxOrganisations.
	OtherOrganisations = "(other organisations)"
)

// Bounds limits the size of a ledger. A zero field stands for MaxOpenRequests,
// MaxOutboxEntries or MaxOrganisations.
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

// Ledger counts the usage that one VM incarnation records. It is safe for
// concurrent use.
type Ledger struct {
	self   model.Holder
	bounds Bounds
	mu     sync.Mutex
	// document holds the totals. version increases with each change to them,
	// and rowVersions holds the version at the last change of each row, by
	// organisation.
	document    Document
	version     uint64
	rowVersions map[string]uint64
	open        *openTable
	outbox      *outbox
	lastBatches map[model.Holder]uint64    // number of the last batch received, by sender
	replicas    map[model.Holder]*Document // counters of other incarnations, kept until they are in the store
	exchanges   uint64                     // number of calls of Flusher.Exchange
}

// NewLedger returns an empty ledger for the incarnation of this process.
func NewLedger(self model.Holder, bounds Bounds) *Ledger {
	bounds = bounds.withDefaults()
	return &Ledger{
		self: self, bounds: bounds, document: newDocument(self), rowVersions: map[string]uint64{},
		open: newOpenTable(bounds.OpenRequests), outbox: newOutbox(bounds.OutboxEntries),
		lastBatches: map[model.Holder]uint64{}, replicas: map[model.Holder]*Document{},
	}
}

// RecordUsed records what one attempt of a request used. The entry VM calls it
// once for each permit that it releases.
func (l *Ledger) RecordUsed(id model.RequestID, organisation, _ string, outcome core.Outcome, usage core.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addToTotals(Used, organisation, outcome, usage)
	if outcome != core.OutcomeNotSent {
		l.addToOpen(Used, Entry{Request: id, Organisation: organisation, Usage: usage})
	}
}

// RecordGiven records what a target gave to one attempt of a request. The group
// owner calls it once for each permit that has ended.
func (l *Ledger) RecordGiven(given core.RecordGiven) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addToTotals(Given, given.Organisation, given.Outcome, given.Usage)
	if given.Outcome == core.OutcomeNotSent {
		return
	}
	entry := Entry{Request: given.ID, Organisation: given.Organisation, Usage: given.Usage}
	// If the holder is unknown, as for a permit of an earlier epoch, the entry
	// cannot be sent to the entry VM; only Reconcile can match the two sides.
	if given.Holder == l.self || given.Holder.VM == "" {
		l.addToOpen(Given, entry)
		return
	}
	if dropped, full := l.outbox.add(given.Holder, entry); full {
		l.increment(dropped.Organisation, DroppedGivenEntries, 1)
	}
}

// addToTotals adds one record to the counters of its organisation.
func (l *Ledger) addToTotals(side Side, organisation string, outcome core.Outcome, usage core.Usage) {
	l.increment(organisation, RequestsCounter(side, outcome), 1)
	l.increment(organisation, PromptTokensCounter(side), uint64(max(usage.PromptTokens, 0)))
	l.increment(organisation, GeneratedTokensCounter(side), uint64(max(usage.GeneratedTokens, 0)))
}

// increment adds delta to a counter of an organisation, or of
// OtherOrganisations if the document has no room for another row.
func (l *Ledger) increment(organisation string, counter Counter, delta uint64) {
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
	l.rowVersions[organisation] = l.version
}

// addToOpen adds an entry to the open requests and counts the request that is
// dropped to make room.
func (l *Ledger) addToOpen(side Side, entry Entry) {
	if dropped, full := l.open.add(side, entry, l.exchanges); full {
		l.increment(dropped.Organisation, DroppedOpenRequests, 1)
	}
}

// Document returns a copy of the totals.
func (l *Ledger) Document() Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.document.clone()
}

// changedSince returns a copy of the rows that changed after the given version,
// and the current version.
func (l *Ledger) changedSince(version uint64) (Document, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := newDocument(l.self)
	for organisation, row := range l.document.Rows {
		if l.rowVersions[organisation] > version {
			part.Rows[organisation] = row
		}
	}
	return part.clone(), l.version
}

// OpenCount returns the number of open requests, whose two sides do not match
// yet.
func (l *Ledger) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open.requests)
}
