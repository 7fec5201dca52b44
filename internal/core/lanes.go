package core

// laneKey distinguishes the lanes of one adapter. Requests that differ in a field
// are ordered by the queueing policy or may run on different targets.
type laneKey struct {
	organisation string
	kind         string
	long         bool
	exclude      string
}

// laneRow is a first-in first-out list of queued requests for one adapter. Only
// its head is considered for dispatch.
type laneRow struct {
	key        laneKey
	adapter    *adapterRow
	org        *orgRow
	head, tail *requestRow
	count      int
}

// push appends a request.
func (l *laneRow) push(r *requestRow) {
	r.lane, r.prev = l, l.tail
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
	l.count++
}

// remove removes a request at any position.
func (l *laneRow) remove(r *requestRow) {
	if r.prev == nil {
		l.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	l.count--
}
