package account

import (
	"container/list"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// Entry is what one attempt of a request used or was given.
type Entry struct {
	Request      model.RequestID
	Organisation string
	Usage        core.Usage
}

// OpenRequest is a request whose sides are not known to match. Attempts of the
// same request are added up.
type OpenRequest struct {
	Request      model.RequestID
	Organisation string
	Used, Given  core.Usage
	HasUsed      bool
	HasGiven     bool
	Settling     bool // too young to be a difference: the other side may follow
	EntryVMGone  bool // the used side was lost with its VM
}

func (r *OpenRequest) matches() bool {
	return r.HasUsed && r.HasGiven && r.Used == r.Given
}

// settleRounds is the number of handover rounds after which the other side of a
// request should have arrived.
const settleRounds = 3

type openRow struct {
	OpenRequest
	round uint64 // when it was last changed
	place *list.Element
}

// openTable holds the open requests in the order of their first entry.
type openTable struct {
	limit    int
	requests map[model.RequestID]*openRow
	order    *list.List // of *openRow, the oldest first
}

func newOpenTable(limit int) *openTable {
	return &openTable{limit: limit, requests: map[model.RequestID]*openRow{}, order: list.New()}
}

// add enters one side and removes the request if its sides match now. It
// reports the request that was dropped if the table was full.
func (t *openTable) add(side Side, entry Entry, round uint64) (OpenRequest, bool) {
	row := t.requests[entry.Request]
	var dropped OpenRequest
	full := false
	if row == nil {
		if full = len(t.requests) >= t.limit; full {
			oldest := t.order.Front().Value.(*openRow)
			dropped = oldest.OpenRequest
			t.remove(oldest)
		}
		row = &openRow{OpenRequest: OpenRequest{Request: entry.Request, Organisation: entry.Organisation}}
		row.place = t.order.PushBack(row)
		t.requests[entry.Request] = row
	}
	row.round = round
	if side == Used {
		row.Used, row.HasUsed = sum(row.Used, entry.Usage), true
	} else {
		row.Given, row.HasGiven = sum(row.Given, entry.Usage), true
	}
	if row.matches() {
		t.remove(row)
	}
	return dropped, full
}

func (t *openTable) remove(row *openRow) {
	t.order.Remove(row.place)
	delete(t.requests, row.Request)
}

// list returns up to limit open requests, the oldest first, and how many were
// left out.
func (t *openTable) list(limit int, round uint64) ([]OpenRequest, int) {
	var requests []OpenRequest
	for place := t.order.Front(); place != nil && len(requests) < limit; place = place.Next() {
		row := place.Value.(*openRow)
		request := row.OpenRequest
		request.Settling = round-row.round < settleRounds
		requests = append(requests, request)
	}
	return requests, len(t.requests) - len(requests)
}
