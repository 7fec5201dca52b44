package placer

import (
	"slices"
	"time"
)

// runOrders sends to each target the next order that is due, and asks for the
// reports that are needed.
func (c *Core) runOrders() {
	for _, t := range c.targets {
		if t.wantReport && t.sent == nil && (!t.asked || c.now-t.askedAt >= reportRetry) && c.now >= t.quietTo {
			t.asked, t.askedAt = true, c.now
			c.emit(AskReport{Target: t.info.ID, Address: t.info.Address})
		}
		if t.sent == nil && t.known && !t.wantReport && c.now >= t.quietTo {
			c.sendNext(t)
		}
	}
}

func (c *Core) sendNext(t *targetRow) {
	for i, p := range t.plan {
		if p.notBefore > c.now || p.after != nil && t.held[p.after.adapter] == p.after || !c.fits(t, p) {
			continue
		}
		t.plan = slices.Delete(t.plan, i, i+1)
		c.orders++
		t.sentPlan = p
		t.sent = &Order{
			Target: t.info.ID, Address: t.info.Address, Operation: p.operation, Adapter: p.row.adapter,
			Precondition: t.sequence, Poll: p.row.started, number: c.orders,
		}
		if p.operation == Load && p.row.adapter.Name != "" {
			t.sent.Version = p.row.version
		}
		c.emit(SendOrder{Order: *t.sent})
		return
	}
}

// fits reports whether a target has room for a load that it was not yet ordered.
func (c *Core) fits(t *targetRow, p plannedOrder) bool {
	if p.operation != Load || p.row.started || p.row.adapter.Name == "" {
		return true
	}
	taken, _ := t.slots()
	return taken <= c.slotLimit(t)
}

// lateOrder is the time after which an order without an answer is not carried out
// any more.
const lateOrder = 15 * time.Second

// slotLimit is the number of adapters that a target has room for, by its slots
// and by the memory that the largest model leaves. After a restart, which clears
// the count of orders, an earlier order may match it again.
func (c *Core) slotLimit(t *targetRow) int {
	limit := c.params.Engine.AdapterSlots
	for _, m := range c.params.Engine.Models {
		if m.AdapterMB > 0 && c.params.Engine.WeightsMB > m.WeightsMB {
			limit = min(limit, int((c.params.Engine.WeightsMB-m.WeightsMB)/m.AdapterMB))
		}
	}
	t.reserved = slices.DeleteFunc(t.reserved, func(at Time) bool { return c.now-at > lateOrder })
	return max(1, limit-len(t.reserved))
}

// Ordered enters the answer to an order.
func (c *Core) Ordered(now Time, order Order, result Result) {
	c.at(now)
	t := c.index[order.Target]
	if t == nil || t.sent == nil || t.sent.number != order.number {
		return
	}
	p := t.sentPlan
	t.sent = nil
	row := p.row
	if t.held[row.adapter] != row {
		t.wantReport, t.reportFrom = true, c.now
		return
	}
	switch result {
	case Accepted:
		c.accepted(t, p)
	case Holds:
		c.completed(t, p)
	case Conflicts:
		t.plan = slices.Insert(t.plan, 0, p)
		c.resync(t)
	case Fenced:
		c.emit(LoseOwnership{Target: t.info.ID})
	case Misdirected:
		t.plan = slices.Insert(t.plan, 0, p)
		t.quietTo = c.now + orderPause
		c.resync(t)
	case Invalid:
		c.adapter(row.adapter).retryAt = c.now + orderPause
		row.doubt = true
		c.resync(t)
	case NotSent:
		t.plan = slices.Insert(t.plan, 0, p)
		c.trouble(t)
		t.quietTo = c.now + orderRetry*time.Duration(min(8, t.failures))
	default:
		// An order without an answer says nothing of the target's other work. It is
		// repeated at once: the precondition lets only one of them be carried out.
		t.plan = slices.Insert(t.plan, 0, p)
		t.unanswered++
		row.doubt = t.unanswered >= doubtfulOrders
		if p.operation == Load && !row.started {
			t.lost = append(t.lost, c.now)
		}
	}
	if result != Unanswered {
		t.unanswered = 0
	}
}

// doubtfulOrders is the number of orders in a row without an answer from which the
// adapter is also loaded elsewhere.
const doubtfulOrders = 3

// accepted enters that a target carries an order out.
func (c *Core) accepted(t *targetRow, p plannedOrder) {
	row := p.row
	row.doubt = false
	if !row.started {
		row.started, row.accepted = true, c.now
		t.sequence++
	}
	row.polls++
	p.notBefore = c.now + c.pollAfter(row)
	t.plan = append(t.plan, p)
}

const (
	// patientPolls is the number of questions after which a load that was expected to
	// come from the target's memory counts as one from the weights store.
	patientPolls = 5
	// firstPollPart is the part of the expected time of a load after which the target
	// is asked first. It is below one, so that the expectation can fall.
	firstPollPart = 0.85
)

func (c *Core) pollAfter(row *heldRow) time.Duration {
	switch {
	case row.adapter.Name == "":
		return modelPoll
	case row.state == heldUnloading:
		return 2 * pollCold
	case row.polls == 1:
		return max(pollWarm, time.Duration(firstPollPart*float64(c.model.load(row.cold))))
	case row.cold:
		return pollCold
	case row.polls > patientPolls:
		row.cold = true
	}
	return pollWarm
}

// completed enters that an order is carried out.
func (c *Core) completed(t *targetRow, p plannedOrder) {
	row := p.row
	row.doubt = false
	if p.operation == Unload {
		if !row.started {
			t.sequence++
		}
		if row.adapter.Name != "" {
			t.recent.add(row.adapter)
		}
		c.forget(row)
		return
	}
	if row.started && row.adapter.Name != "" {
		c.model.observeLoad(row.cold, c.now-row.accepted, row.polls == 1)
	}
	t.recent.remove(row.adapter)
	c.ready(row)
}

// ready makes a held row usable, unless a newer version was announced meanwhile.
func (c *Core) ready(row *heldRow) {
	row.state, row.since, row.usedAt = heldReady, c.now, c.now
	if wanted := c.adapter(row.adapter).wanted; row.version < wanted {
		row.stale, c.anyStale = max(1, c.now), true
	} else {
		row.stale = 0
	}
}

// resync asks for a report that shows the effect of everything so far.
func (c *Core) resync(t *targetRow) {
	t.wantReport, t.asked = true, true
	t.reportFrom = c.now + reportLag
	t.askedAt = c.now + reportLag - reportRetry
}

// Reported enters a target's report, or nil if there was none.
func (c *Core) Reported(now, askedAt Time, target string, report *Report) {
	c.at(now)
	t := c.index[target]
	if t == nil || !t.wantReport || askedAt < t.reportFrom || t.sent != nil {
		return
	}
	if report == nil {
		c.trouble(t)
		return
	}
	if report.Born != 0 && report.Born != t.info.Born {
		c.reset(t)
		t.info.Born = report.Born
	} else if t.known && report.Sequence < t.sequence && c.now-t.reportFrom < staleReports {
		return
	}
	t.known, t.wantReport, t.sequence = true, false, report.Sequence
	if report.Busy {
		t.quietTo = max(t.quietTo, c.now+modelPoll)
	}
	c.reconcile(t, report)
}

// staleReports is the time after which a report with fewer orders than expected
// is believed.
const staleReports = 2 * time.Second

// reconcile brings the table of a target in line with its report.
func (c *Core) reconcile(t *targetRow, report *Report) {
	coming := map[Adapter]bool{}
	for _, a := range report.Coming {
		coming[a] = true
	}
	present := map[Adapter]int64{}
	for model, version := range report.Models {
		present[Adapter{Model: model}] = version
	}
	for a, version := range report.Ready {
		present[a] = version
	}
	t.plan = nil
	for _, row := range sortedHeld(t) {
		version, held := present[row.adapter]
		c.reconcileRow(t, row, held, version, coming[row.adapter])
	}
	for a, version := range present {
		if t.held[a] == nil {
			c.addHeld(t, a, heldReady, version)
		}
	}
	for a := range coming {
		if t.held[a] == nil {
			row := c.addHeld(t, a, heldLoading, 0)
			row.started, row.accepted, row.cold = true, c.now, true
			t.plan = append(t.plan, plannedOrder{operation: Load, row: row})
		}
	}
}

func (c *Core) reconcileRow(t *targetRow, row *heldRow, held bool, version int64, coming bool) {
	row.doubt = false
	switch {
	case row.state == heldUnloading && !held && !coming:
		c.forget(row)
	case row.state == heldUnloading:
		row.started = false
		t.plan = append(t.plan, plannedOrder{operation: Unload, row: row})
	case held && (row.state == heldReady || version >= row.version):
		row.version = version
		c.ready(row)
	case row.state == heldReady && !coming:
		c.forget(row)
	case row.state == heldReady:
		row.state, row.since = heldLoading, c.now
		fallthrough
	default:
		row.started = coming
		if coming {
			row.accepted = c.now
		}
		c.replan(t, row)
	}
}

// replan orders a load again that the target does not show. Without a free slot
// it is given up; its requests ask for another.
func (c *Core) replan(t *targetRow, row *heldRow) {
	if row.adapter.Name != "" && !row.started {
		if taken, _ := t.slots(); taken > c.slotLimit(t) {
			c.forget(row)
			return
		}
	}
	t.plan = append(t.plan, plannedOrder{operation: Load, row: row})
}

// trouble enters a failure of a target.
func (c *Core) trouble(t *targetRow) {
	t.failures++
	if t.failures >= troubleMemory {
		pause := troublePause << min(t.failures-troubleMemory, 5)
		t.avoidTo = c.now + min(pause, troubleLongest)
	}
}
