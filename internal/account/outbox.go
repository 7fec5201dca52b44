package account

import (
	"sort"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// maxBatchEntries is the largest number of entries in a batch. An entry takes
// about 60 bytes in gob.
const maxBatchEntries = 1024

// Batch carries given entries from a group owner to an entry VM, by gob.
type Batch struct {
	From, To model.Holder
	Number   uint64 // increases by one with each batch between two incarnations
	Entries  []Entry
}

// outbox holds the given entries that were not yet acknowledged by their entry
// VMs.
type outbox struct {
	limit  int                     // largest count
	count  int                     // entries in all queues
	queues map[model.Holder]*queue // by entry VM
}

// queue holds the entries for one entry VM. Its first entries form the current
// batch: once sent, they are repeated unchanged until the batch is
// acknowledged.
type queue struct {
	batchNumber    uint64 // of the current batch
	unacknowledged int    // number of entries in the current batch, 0 before it is sent
	entries        []Entry
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, queues: map[model.Holder]*queue{}}
}

// add appends an entry to the queue of an entry VM. If the outbox is full, add
// drops the new entry and returns it and true; older entries may be part of a
// batch that must be repeated unchanged.
func (o *outbox) add(to model.Holder, entry Entry) (Entry, bool) {
	if o.count >= o.limit {
		return entry, true
	}
	q := o.queues[to]
	if q == nil {
		q = &queue{batchNumber: 1}
		o.queues[to] = q
	}
	q.entries = append(q.entries, entry)
	o.count++
	return Entry{}, false
}

// recipients returns the entry VMs that have a queue, sorted by key. Their
// queues may be empty.
func (o *outbox) recipients() []model.Holder {
	recipients := make([]model.Holder, 0, len(o.queues))
	for holder := range o.queues {
		recipients = append(recipients, holder)
	}
	sort.Slice(recipients, func(i, j int) bool { return Key(recipients[i]) < Key(recipients[j]) })
	return recipients
}

// nextBatch returns the current batch for an entry VM, or false if there are no
// entries for it.
func (l *Ledger) nextBatch(to model.Holder) (Batch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.outbox.queues[to]
	if q == nil || len(q.entries) == 0 {
		return Batch{}, false
	}
	if q.unacknowledged == 0 {
		q.unacknowledged = min(len(q.entries), maxBatchEntries)
	}
	return Batch{From: l.self, To: to, Number: q.batchNumber, Entries: append([]Entry(nil), q.entries[:q.unacknowledged]...)}, true
}

// acknowledgeBatch removes the entries of a batch that its entry VM has
// accepted.
func (l *Ledger) acknowledgeBatch(batch Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.outbox.queues[batch.To]
	if q == nil || q.batchNumber != batch.Number {
		return
	}
	q.entries = append([]Entry(nil), q.entries[q.unacknowledged:]...)
	l.outbox.count -= q.unacknowledged
	q.unacknowledged = 0
	q.batchNumber++
}

// moveToOpen moves the entries for an entry VM that is gone to the open
// requests and marks these as EntryVMGone, because their used side is lost.
// They include the entries of a batch that the VM had accepted without its
// response arriving.
func (l *Ledger) moveToOpen(to model.Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.outbox.queues[to]
	if q == nil {
		return
	}
	delete(l.outbox.queues, to)
	l.outbox.count -= len(q.entries)
	for _, entry := range q.entries {
		l.addToOpen(Given, entry)
		if row := l.open.requests[entry.Request]; row != nil {
			row.EntryVMGone = true
		}
	}
}

// ReceiveBatch adds a batch from a group owner to the open requests. A repeated
// batch counts once. It fails with errs.StaleEpoch if the batch is for another
// incarnation, and with errs.TooLarge if it has more than maxBatchEntries
// entries.
func (l *Ledger) ReceiveBatch(batch Batch) error {
	if batch.To != l.self {
		return errs.New(errs.StaleEpoch, "the batch of usage entries is for another incarnation of this VM")
	}
	if len(batch.Entries) > maxBatchEntries {
		return errs.New(errs.TooLarge, "the batch of usage entries has too many entries")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if batch.Number <= l.lastBatches[batch.From] {
		return nil
	}
	l.lastBatches[batch.From] = batch.Number
	for _, entry := range batch.Entries {
		l.addToOpen(Given, entry)
	}
	return nil
}
