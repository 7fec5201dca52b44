package account

import (
	"container/list"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// Entry is what one attempt of a request used or was given. Peers exchange it
// by gob.
type Entry struct {
	Request      model.RequestID
	Organisation string
	Usage        core.Usage
}

// OpenRequest is a request whose two sides do not match yet. The usage of all
// attempts of a request is added up. Daemons send it by gob to the command
// line.
type OpenRequest struct {
	Request      model.RequestID
	Organisation string
	Used, Given  core.Usage // sums over the attempts recorded so far
	HasUsed      bool       // whether the used side was recorded
	HasGiven     bool       // whether the given side was recorded
	Settling     bool       // changed so recently that entries of the other side may still arrive
	EntryVMGone  bool       // the entry VM is gone and its used side may be lost
}

// matches reports whether both sides were recorded and are equal.
func (r *OpenRequest) matches() bool {
	return r.HasUsed && r.HasGiven && r.Used == r.Given
}

// settleExchanges is the number of exchanges within which the entries of the
// other side of a request should have arrived.
const settleExchanges = 3

// trackedRequest is an open request in an openTable.
type trackedRequest struct {
	OpenRequest
	exchange uint64        // value of Ledger.exchanges at the last change
	element  *list.Element // position in openTable.order
}

// openTable holds the open requests of a ledger in the order of their first
// entries.
type openTable struct {
	limit    int
	requests map[model.RequestID]*trackedRequest
	order    *list.List // of *trackedRequest, oldest first
}

func newOpenTable(limit int) *openTable {
	return &openTable{limit: limit, requests: map[model.RequestID]*trackedRequest{}, order: list.New()}
}

// add adds an entry to one side of its request and removes the request if the
// sides match. If the table was full, add drops the oldest request and returns it
// and true.
func (t *openTable) add(side Side, entry Entry, exchange uint64) (OpenRequest, bool) {
	row := t.requests[entry.Request]
	var dropped OpenRequest
	full := false
	if row == nil {
		if full = len(t.requests) >= t.limit; full {
			oldest := t.order.Front().Value.(*trackedRequest)
			dropped = oldest.OpenRequest
			t.remove(oldest)
		}
		row = &trackedRequest{OpenRequest: OpenRequest{Request: entry.Request, Organisation: entry.Organisation}}
		row.element = t.order.PushBack(row)
		t.requests[entry.Request] = row
	}
	row.exchange = exchange
	if side == Used {
		row.Used, row.HasUsed = addUsage(row.Used, entry.Usage), true
	} else {
		row.Given, row.HasGiven = addUsage(row.Given, entry.Usage), true
	}
	if row.matches() {
		t.remove(row)
	}
	return dropped, full
}

func (t *openTable) remove(row *trackedRequest) {
	t.order.Remove(row.element)
	delete(t.requests, row.Request)
}

// list returns up to limit open requests, oldest first, and the number of
// requests beyond the limit.
func (t *openTable) list(limit int, exchange uint64) ([]OpenRequest, int) {
	var requests []OpenRequest
	for element := t.order.Front(); element != nil && len(requests) < limit; element = element.Next() {
		row := element.Value.(*trackedRequest)
		request := row.OpenRequest
		request.Settling = exchange-row.exchange < settleExchanges
		requests = append(requests, request)
	}
	return requests, len(t.requests) - len(requests)
}
