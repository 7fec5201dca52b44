package core

import (
	"container/heap"
	"sort"
	"strings"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/estimate"
	"cicadaslip/internal/policy/queueing"
)

// typicalWorthWeight is the weight of a new request in the moving average of the
// worth of an adapter's requests.
const typicalWorthWeight = 0.1

// sortedKeys returns the keys of a map in a fixed order, so that decisions do not
// depend on the iteration order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (c *Core) applyQueued(now Time, request Request) {
	if c.requests[request.ID] != nil || c.repeatPermit(request) {
		return
	}
	if err := c.refusalError(request); err != nil {
		c.emit(RefuseRequest{ID: request.ID, Err: err})
		return
	}
	c.enqueue(now, request)
}

// repeatPermit answers a request that already has a permit of this epoch, on a
// target that it does not exclude, with that permit again. Such a request was
// repeated because its first answer was lost.
func (c *Core) repeatPermit(request Request) bool {
	for _, t := range c.targets {
		p := t.permits[request.ID]
		if p != nil && !p.pendingEnd && p.permit.Epoch == c.epoch && !excluded(request.Exclude, t.info.Name) {
			c.emit(GrantPermit{Permit: p.permit})
			return true
		}
	}
	return false
}

// excluded reports whether the list contains the target.
func excluded(exclude []string, target string) bool {
	for _, name := range exclude {
		if name == target {
			return true
		}
	}
	return false
}

// refusalError returns the reason to refuse a new request at once, or nil.
func (c *Core) refusalError(request Request) *errs.Error {
	switch {
	case c.draining:
		return errs.NotRun(errs.Draining, "the owner of the target group is shutting down")
	case c.gone[request.Holder]:
		return errs.NotRun(errs.Cancelled, "the holder of the request is gone")
	case request.Class == model.ClassRunner && request.Adapter.IsZero():
		return errs.NotRun(errs.InvalidRequest, "a runner request names no adapter")
	case len(c.requests) >= c.params.MaxQueued:
		return errs.NotRun(errs.Overloaded, "the queue of the target group is full")
	case c.org(request.Organisation).queued >= c.params.MaxQueuedPerOrganisation:
		return errs.NotRun(errs.Overloaded, "the queue of the organisation is full")
	}
	return nil
}

// enqueue adds a request to every table of the queue.
func (c *Core) enqueue(now Time, request Request) {
	c.sequence++
	r := &requestRow{
		Request: request, sequence: c.sequence, queuedAt: now,
		due: now + request.Deadline, long: request.PredictedTokens >= c.params.LongOutputTokens,
	}
	a := c.adapter(adapterKeyOf(request))
	r.adapterRow = a
	r.latestStart = c.policies.admit.LatestStart(r.due, c.serviceTime(r))
	a.baseModel = request.BaseModel
	a.demand.add(now, 1)
	a.typicalWorth += typicalWorthWeight * (request.Worth - a.typicalWorth)
	lane := c.lane(a, request, r.long)
	lane.push(r)
	a.waiting++
	lane.org.queued++
	r.queueHead = queueing.Head{
		Sequence: r.sequence, Organisation: lane.org.index, Long: r.long,
		Work: workOf(request), Worth: request.Worth, Due: int64(r.due),
	}
	c.requests[request.ID] = r
	c.addQueuedWork(r, 1)
	heap.Push(&c.byLatestStart, r)
	c.arrivals = append(c.arrivals, r)
	c.markAdapter(a)
}

// adapterKeyOf returns the key of what a request needs.
func adapterKeyOf(request Request) adapterKey {
	if request.Class == model.ClassService {
		return adapterKey{application: request.Application}
	}
	return adapterKey{version: request.Adapter}
}

// lane returns the lane of an adapter for a request and adds it if it is new.
func (c *Core) lane(a *adapterRow, request Request, long bool) *laneRow {
	key := laneKey{
		organisation: request.Organisation, kind: request.Kind, long: long,
		exclude: strings.Join(request.Exclude, ","),
	}
	for _, lane := range a.lanes {
		if lane.key == key {
			return lane
		}
	}
	lane := &laneRow{key: key, adapter: a, org: c.org(request.Organisation)}
	a.lanes = append(a.lanes, lane)
	return lane
}

// dequeue removes a request from every table of the queue.
func (c *Core) dequeue(r *requestRow) {
	delete(c.requests, r.ID)
	heap.Remove(&c.byLatestStart, r.heapIndex)
	lane := r.lane
	lane.remove(r)
	lane.org.queued--
	lane.adapter.waiting--
	if lane.count == 0 {
		lane.adapter.lanes = removeRow(lane.adapter.lanes, lane)
	}
	c.addQueuedWork(r, -1)
	r.lane = nil
}

func (c *Core) applyCancelled(id model.RequestID) {
	if r := c.requests[id]; r != nil {
		c.dequeue(r)
	}
}

// refuse removes a request from the queue and answers it with an error.
func (c *Core) refuse(r *requestRow, err *errs.Error) {
	c.dequeue(r)
	c.emit(RefuseRequest{ID: r.ID, Err: err})
}

func (c *Core) applyReleased(now Time, e PermitReleased) {
	p := c.permits[permitKey{e.ID, e.Target}]
	if p == nil {
		c.recordEarlyRelease(e)
		return
	}
	if p.pendingEnd {
		return
	}
	c.recordUsage(p, e)
	c.observeOutcome(now, p, e)
	c.correctWork(p, e)
	if e.NotResident && p.slot != nil && p.slot.state == slotResident {
		// The target restarted; its next state report lists its adapters.
		c.setSlot(now, p.slot, slotAbsent)
		p.target.stateNeeded = true
	}
	if e.Outcome == OutcomeDone || e.Outcome == OutcomeNotSent {
		c.endPermit(now, p)
		return
	}
	c.deferEnd(p)
}

// recordEarlyRelease records the release of a permit of an earlier epoch that
// arrives before its holder's list of permits. The list may still contain the
// permit, which is not adopted then.
func (c *Core) recordEarlyRelease(e PermitReleased) {
	key := permitKey{e.ID, e.Target}
	if c.barrierPassed || c.releasedEarly[key] {
		return
	}
	c.releasedEarly[key] = true
	c.emit(RecordGiven{
		ID: e.ID, Organisation: e.Organisation, Kind: e.Kind, Target: e.Target, Holder: e.Holder,
		Outcome: e.Outcome, Usage: e.Usage,
	})
}

// deferEnd keeps the pin of a request that may still run on its target because
// its holder is gone or abandoned it. The permit ends when a state report of the
// target no longer lists the request.
func (c *Core) deferEnd(p *permitRow) {
	if p.pendingEnd {
		return
	}
	p.pendingEnd = true
	c.pendingEnd = append(c.pendingEnd, p)
}

// endPermit removes a permit and its pin.
func (c *Core) endPermit(now Time, p *permitRow) {
	t := p.target
	delete(c.permits, permitKey{p.permit.Request, t.info.Name})
	delete(t.permits, p.permit.Request)
	t.released[p.permit.Request] = now
	if p.long {
		t.long--
	}
	if p.slot != nil {
		p.slot.pins--
	}
	c.markTarget(t)
}

// correctWork corrects the work that the queueing policy charged for a request
// from the predicted to the actual work.
func (c *Core) correctWork(p *permitRow, e PermitReleased) {
	if p.request == nil {
		return
	}
	done := 0.0
	if e.Outcome != OutcomeNotSent {
		done = estimate.Work(e.Usage.PromptTokens, e.Usage.GeneratedTokens)
	}
	c.policies.queue.CorrectWork(p.org.index, done-p.request.queueHead.Work)
}
