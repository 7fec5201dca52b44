package core

// laneKey separates requests for one adapter that are ordered differently.
type laneKey struct {
	organisation string
	kind         string
	long         bool
	exclude      string
}

// laneRow is a first-in first-out list of queued requests.
type laneRow struct {
	key        laneKey
	adapter    *adapterRow
	org        *orgRow
	head, tail *requestRow
	count      int
}

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
