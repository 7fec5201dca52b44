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

// typicalWeight is the weight of a new request in an adapter's typical worth.
const typicalWeight = 0.1

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (c *Core) applyQueued(now Time, request Request) {
	if c.requests[request.ID] != nil || c.repeatGrant(request) {
		return
	}
	if err := c.refusal(request); err != nil {
		c.emit(RefuseRequest{ID: request.ID, Err: err})
		return
	}
	c.enqueue(now, request)
}

// repeatGrant answers a repeated request, whose first answer was lost, with
// the permit that it already holds.
func (c *Core) repeatGrant(request Request) bool {
	for _, t := range c.targets {
		p := t.permits[request.ID]
		if p != nil && !p.ending && p.permit.Epoch == c.epoch && !excluded(request.Exclude, t.info.Name) {
			c.emit(GrantPermit{Permit: p.permit})
			return true
		}
	}
	return false
}

func excluded(exclude []string, target string) bool {
	for _, name := range exclude {
		if name == target {
			return true
		}
	}
	return false
}

func (c *Core) refusal(request Request) *errs.Error {
	switch {
	case c.draining:
		return errs.NotRun(errs.Draining, "the owner of the target group is shutting down")
	case c.gone[request.Holder]:
		return errs.NotRun(errs.Cancelled, "the holder of the request is gone")
	case request.Class == model.ClassRunner && request.Adapter.IsZero():
		return errs.NotRun(errs.InvalidRequest, "a runner request names no adapter")
	case len(c.requests) >= c.params.QueueBound:
		return errs.NotRun(errs.Overloaded, "the queue of the target group is full")
	case c.org(request.Organisation).queued >= c.params.OrganisationBound:
		return errs.NotRun(errs.Overloaded, "the queue of the organisation is full")
	}
	return nil
}

func (c *Core) enqueue(now Time, request Request) {
	c.sequence++
	r := &requestRow{
		Request: request, sequence: c.sequence, queuedAt: now,
		due: now + request.Deadline, long: request.PredictedTokens >= c.params.LongTokens,
	}
	a := c.adapter(keyOf(request))
	r.adapterRow = a
	r.latestStart = c.policies.admit.LatestStart(r.due, c.serviceTime(r))
	a.baseModel = request.BaseModel
	a.demand.add(now, 1)
	a.typicalWorth += typicalWeight * (request.Worth - a.typicalWorth)
	lane := c.lane(a, request, r.long)
	lane.push(r)
	a.waiting++
	lane.org.queued++
	r.head = queueing.Head{
		Sequence: r.sequence, Organisation: lane.org.index, Long: r.long,
		Work: workOf(request), Worth: request.Worth, Due: int64(r.due),
	}
	c.requests[request.ID] = r
	c.addWork(r, 1)
	heap.Push(&c.starts, r)
	c.arrivals = append(c.arrivals, r)
	c.markAdapter(a)
}

func keyOf(request Request) adapterKey {
	if request.Class == model.ClassService {
		return adapterKey{application: request.Application}
	}
	return adapterKey{version: request.Adapter}
}

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

// dequeue removes a request from every table.
func (c *Core) dequeue(r *requestRow) {
	delete(c.requests, r.ID)
	heap.Remove(&c.starts, r.heapIndex)
	lane := r.lane
	lane.remove(r)
	lane.org.queued--
	lane.adapter.waiting--
	if lane.count == 0 {
		lane.adapter.lanes = without(lane.adapter.lanes, lane)
	}
	c.addWork(r, -1)
	r.lane = nil
}

func (c *Core) applyCancelled(id model.RequestID) {
	if r := c.requests[id]; r != nil {
		c.dequeue(r)
	}
}

func (c *Core) refuse(r *requestRow, err *errs.Error) {
	c.dequeue(r)
	c.emit(RefuseRequest{ID: r.ID, Err: err})
}

func (c *Core) applyReleased(now Time, e PermitReleased) {
	p := c.permits[permitKey{e.ID, e.Target}]
	if p == nil {
		c.releaseUnknown(e)
		return
	}
	if p.ending {
		return
	}
	c.record(p, e)
	c.learn(now, p, e)
	c.correct(p, e)
	if e.NotResident && p.slot != nil && p.slot.state == slotResident {
		// The target restarted; its next statement shows what it has.
		c.setSlot(now, p.slot, slotAbsent)
		p.target.wantState = true
	}
	if e.Outcome == OutcomeDone || e.Outcome == OutcomeNotSent {
		c.endPermit(now, p)
		return
	}
	c.startEnding(p)
}

// releaseUnknown keeps the release of a permit of an earlier epoch that
// arrives before its holder's list of permits, which may still contain it.
func (c *Core) releaseUnknown(e PermitReleased) {
	key := permitKey{e.ID, e.Target}
	if c.barrier || c.early[key] {
		return
	}
	c.early[key] = true
	c.emit(RecordGiven{
		ID: e.ID, Organisation: e.Organisation, Kind: e.Kind, Target: e.Target, Holder: e.Holder,
		Outcome: e.Outcome, Usage: e.Usage,
	})
}

// startEnding keeps the pins of a request that may still run on its target,
// because its holder is gone or gave it up, until the target's statement
// shows that it does not.
func (c *Core) startEnding(p *permitRow) {
	if p.ending {
		return
	}
	p.ending = true
	c.ending = append(c.ending, p)
}

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

// correct replaces the predicted work of a request by the work that it was.
func (c *Core) correct(p *permitRow, e PermitReleased) {
	if p.request == nil {
		return
	}
	done := 0.0
	if e.Outcome != OutcomeNotSent {
		done = estimate.Work(e.Usage.PromptTokens, e.Usage.GeneratedTokens)
	}
	c.policies.queue.CorrectWork(p.org.index, done-p.request.head.Work)
}
