package account

import (
	"sort"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// maxBatchEntries bounds a batch. An entry takes about 60 bytes in gob.
const maxBatchEntries = 1024

// Batch hands given entries over from a group's owner to an entry VM.
type Batch struct {
	From, To model.Holder
	Number   uint64 // rises by one per batch between two incarnations
	Entries  []Entry
}

// outbox holds the given entries that are to be handed over.
type outbox struct {
	limit  int
	count  int
	queues map[model.Holder]*queue
}

// queue holds the entries for one entry VM. The first sent entries form the
// batch that was sent and not answered; they are repeated unchanged.
type queue struct {
	number  uint64 // of the current batch
	sent    int
	entries []Entry
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, queues: map[model.Holder]*queue{}}
}

// add appends an entry. When the outbox is full the new entry is dropped and
// returned: older ones may be in a batch that must be repeated unchanged.
func (o *outbox) add(to model.Holder, entry Entry) (Entry, bool) {
	if o.count >= o.limit {
		return entry, true
	}
	q := o.queues[to]
	if q == nil {
		q = &queue{number: 1}
		o.queues[to] = q
	}
	q.entries = append(q.entries, entry)
	o.count++
	return Entry{}, false
}

// holders returns the entry VMs that had entries, in order.
func (o *outbox) holders() []model.Holder {
	holders := make([]model.Holder, 0, len(o.queues))
	for holder := range o.queues {
		holders = append(holders, holder)
	}
	sort.Slice(holders, func(i, j int) bool { return Key(holders[i]) < Key(holders[j]) })
	return holders
}

// batch returns the batch to send to an entry VM.
func (l *Ledger) batch(to model.Holder) (Batch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.outbox.queues[to]
	if q == nil || len(q.entries) == 0 {
		return Batch{}, false
	}
	if q.sent == 0 {
		q.sent = min(len(q.entries), maxBatchEntries)
	}
	return Batch{From: l.self, To: to, Number: q.number, Entries: append([]Entry(nil), q.entries[:q.sent]...)}, true
}

// batchDone removes the batch that an entry VM has taken over.
func (l *Ledger) batchDone(batch Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.outbox.queues[batch.To]
	if q == nil || q.number != batch.Number {
		return
	}
	q.entries = append([]Entry(nil), q.entries[q.sent:]...)
	l.outbox.count -= q.sent
	q.sent = 0
	q.number++
}

// abandon keeps the entries for a gone entry VM as requests with one side,
// because their other side is lost. Entries of a batch that the VM had taken
// over without an answer are among them.
func (l *Ledger) abandon(to model.Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.outbox.queues[to]
	if q == nil {
		return
	}
	delete(l.outbox.queues, to)
	l.outbox.count -= len(q.entries)
	for _, entry := range q.entries {
		l.enter(Given, entry)
		if row := l.open.requests[entry.Request]; row != nil {
			row.EntryVMGone = true
		}
	}
}

// TakeOver enters a batch from a group's owner. A repeated batch counts once.
// It fails with errs.StaleEpoch if the batch is for another incarnation.
func (l *Ledger) TakeOver(batch Batch) error {
	if batch.To != l.self {
		return errs.New(errs.StaleEpoch, "the batch is for another incarnation of this VM")
	}
	if len(batch.Entries) > maxBatchEntries {
		return errs.New(errs.TooLarge, "the batch has too many entries")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if batch.Number <= l.inbox[batch.From] {
		return nil
	}
	l.inbox[batch.From] = batch.Number
	for _, entry := range batch.Entries {
		l.enter(Given, entry)
	}
	return nil
}
