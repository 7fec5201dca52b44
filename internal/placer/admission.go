package placer

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"cicadaslip/internal/errs"
)

// RefusalCause tells why a request of a group with shares was refused.
type RefusalCause string

// Causes of refusals.
const (
	// CauseRank: the wait behind requests of more urgent ranks is too long.
	CauseRank RefusalCause = "rank"
	// CauseShare: the wait is too long behind requests of its own organisation, of others of the
	// same rank that have used less, and of those that the minimum of service puts ahead.
	CauseShare RefusalCause = "share"
	// CauseCapacity: the prompts granted before, or the loads of adapters, take too long.
	CauseCapacity RefusalCause = "capacity"
	// CauseQueueFull: the queue is full, and no organisation has more requests in it.
	CauseQueueFull RefusalCause = "queue_full"
)

// Admission describes the refusal of a request by its rank and share.
type Admission struct {
	Cause    RefusalCause
	Expected time.Duration // wait for a target that was expected
	Served   float64       // share of the organisation's recent requests that was granted
	All      float64       // share of all recent requests that was granted
}

const (
	// minCapacityLeft is the least part of the capacity that requests of any rank are expected
	// to get beside more urgent ones.
	minCapacityLeft = 0.25
	// retryTimeFraction is the part of the remaining time that a Retry-After may take. Callers
	// honour up to a third, of the time that is left when they receive it.
	retryTimeFraction = 0.3
	// retryPhaseStep distributes successive Retry-After times evenly, however many there are.
	retryPhaseStep = 1 / math.Phi
)

// outlook is the expected wait of a request in the queue.
type outlook struct {
	granted time.Duration // for prompts that were granted before, and for a load of the adapter
	queued  time.Duration // for the prompts of requests ahead of it
}

// forecast computes the expected waits of queued requests one after another, in the order in
// which they are served.
type forecast struct {
	core     *Core
	targets  []*targetState // that accept work
	mean     time.Duration  // backlog
	unplaced time.Duration  // prefill of requests ahead for whose adapters no target is known
	loads    int            // adapters of these requests
	counted  map[*adapterState]bool
}

func (c *Core) newForecast() *forecast {
	f := &forecast{core: c, counted: map[*adapterState]bool{}}
	for _, k := range c.shares.kinds {
		k.queuedAhead = 0
	}
	for _, t := range c.targets {
		t.queuedPrefill = 0
		if t.acceptsWork() {
			f.targets = append(f.targets, t)
			f.mean += c.backlog(t)
		}
	}
	f.mean /= time.Duration(max(1, len(f.targets)))
	return f
}

// of returns the expected wait of a request behind those that were added.
func (f *forecast) of(r *queuedRequest) outlook {
	c := f.core
	anywhere := f.unplaced
	for _, t := range f.targets {
		anywhere += t.queuedPrefill
	}
	anywhere /= time.Duration(max(1, len(f.targets)))
	best := outlook{granted: f.mean, queued: anywhere}
	if r.Request.Adapter.Name != "" {
		best.granted = max(f.mean, time.Duration(float64(c.latencies.loadTime(true))*(1+float64(f.loads)/c.transit.limit)))
	}
	for _, pl := range r.adapter.placements {
		if !serves(pl) || slices.Contains(r.Exclude, pl.target.description.ID) {
			continue
		}
		option := outlook{granted: c.backlog(pl.target), queued: pl.target.queuedPrefill + f.unplaced/time.Duration(max(1, len(f.targets)))}
		if pl.state == placementLoading {
			option.granted = max(option.granted, pl.stateSince+c.latencies.loadTime(pl.cold)-c.now)
		}
		if option.granted+option.queued < best.granted+best.queued {
			best = option
		}
	}
	return best
}

// add puts a request ahead of the next ones. Its prompt counts in equal parts at the targets
// that have its adapter.
func (f *forecast) add(r *queuedRequest) {
	prefill := f.core.latencies.prefill(r.PromptTokens)
	r.share.kind.queuedAhead += prefill
	count := 0
	for _, pl := range r.adapter.placements {
		if serves(pl) {
			count++
		}
	}
	if count == 0 {
		f.unplaced += prefill
		if !f.counted[r.adapter] {
			f.counted[r.adapter] = true
			f.loads++
		}
		return
	}
	for _, pl := range r.adapter.placements {
		if serves(pl) {
			pl.target.queuedPrefill += prefill / time.Duration(count)
		}
	}
}

// cause returns the largest part of a request's expected wait.
func (f *forecast) cause(r *queuedRequest, expected outlook) RefusalCause {
	moreUrgent, others := time.Duration(0), time.Duration(0)
	for _, k := range f.core.shares.kinds {
		if compareRanks(k.rank, r.share.kind.rank) < 0 {
			moreUrgent += k.queuedAhead
		} else {
			others += k.queuedAhead
		}
	}
	switch {
	case expected.granted >= expected.queued:
		return CauseCapacity
	case moreUrgent >= others:
		return CauseRank
	default:
		return CauseShare
	}
}

// admitByShare returns a refusal if a new request cannot be expected to start in time behind the
// requests that its rank and the share of its organisation put ahead of it.
func (c *Core) admitByShare(r *queuedRequest) *RefuseRequest {
	ordered := append(slices.Clone(c.queue), r)
	c.orderByShares(ordered)
	f := c.newForecast()
	for _, other := range ordered {
		if other == r {
			break
		}
		f.add(other)
	}
	expected := f.of(r)
	wait := expected.granted + time.Duration(float64(expected.queued)/c.capacityLeft(r, len(f.targets)))
	if float64(wait) <= maxWaitFraction*float64(r.latestStart-c.now) {
		return nil
	}
	expected.queued = wait - expected.granted
	return c.refusalByShare(r, f.cause(r, expected), wait, errs.Overloaded, "the request would wait beyond its deadline")
}

// capacityLeft returns the part of the targets' time that recent requests of more urgent ranks
// leave to a request.
func (c *Core) capacityLeft(r *queuedRequest, targets int) float64 {
	if r.share.owed {
		return 1
	}
	used := 0.0 // engine seconds in a second
	for _, k := range c.shares.kinds {
		if compareRanks(k.rank, r.share.kind.rank) < 0 {
			used += k.prefill.valueAt(c.now, shareHalfLife) * math.Ln2 / shareHalfLife.Seconds()
		}
	}
	return max(minCapacityLeft, 1-used/float64(max(1, targets)))
}

// refusalByShare returns the refusal of a request because of its rank and share.
func (c *Core) refusalByShare(r *queuedRequest, cause RefusalCause, wait time.Duration, code errs.Code, message string) *RefuseRequest {
	s := c.shares
	c.countRefusal(r)
	return &RefuseRequest{
		ID: r.ID, Err: errs.NotRun(code, message).WithRetry(c.spreadRetry(r, wait)), Waited: c.now - r.queuedAt, Organisation: r.Organisation,
		Admission: &Admission{Cause: cause, Expected: wait, Served: r.share.organisation.service.share(c.now), All: s.total.share(c.now)},
	}
}

// spreadRetry returns a Retry-After that a caller honours. Successive ones are distributed evenly
// over the time that the queue needs.
func (c *Core) spreadRetry(r *queuedRequest, wait time.Duration) time.Duration {
	s := c.shares
	if s.retryPhase == 0 {
		// Another owner begins at another phase.
		h := fnv.New32a()
		h.Write([]byte(r.ID))
		s.retryPhase = float64(h.Sum32()) / math.MaxUint32
	}
	_, s.retryPhase = math.Modf(s.retryPhase + retryPhaseStep)
	latest := max(time.Millisecond, min(max(wait, 2*minRetryAfter), time.Duration(retryTimeFraction*float64(r.deadline-c.now))))
	earliest := min(minRetryAfter, latest/2)
	return earliest + time.Duration(s.retryPhase*float64(latest-earliest))
}

// refuseUnreachable refuses queued requests that cannot start in time any more, even if nothing
// else arrives. It uses the order of the last pass over the queue.
func (c *Core) refuseUnreachable() {
	s := c.shares
	if s == nil || c.lastFullPass != c.now {
		return
	}
	f := c.newForecast()
	for _, r := range s.order {
		if c.queuedByID[r.ID] != r {
			continue
		}
		expected := f.of(r)
		wait := expected.granted + expected.queued
		if c.now+wait <= r.latestStart {
			f.add(r)
			continue
		}
		c.refuseByShare(r, c.refusalByShare(r, f.cause(r, expected), max(wait, c.Backlog(c.now)), errs.DeadlineUnreachable, "no target could start the request in time"))
	}
	s.order = nil
}

// refuseByShare answers a queued request with a refusal.
func (c *Core) refuseByShare(r *queuedRequest, refusal *RefuseRequest) {
	c.dequeue(r)
	refusal.Hold, refusal.Pause = c.limitHold(r), c.pauseHold(r)
	c.emit(*refusal)
}

// makeRoom makes room for a new request in a full queue: the newest request of the organisation
// that has the most in it is refused. It returns a refusal of the new one if no organisation has
// more.
func (c *Core) makeRoom(r *queuedRequest) *RefuseRequest {
	const message = "the queue of the target group is full"
	var newest *queuedRequest
	for _, other := range c.queue {
		if newest == nil || other.share.organisation.queued >= newest.share.organisation.queued {
			newest = other
		}
	}
	if newest.share.organisation.queued <= r.share.organisation.queued {
		return c.refusalByShare(r, CauseQueueFull, maxRetryAfter, errs.Overloaded, message)
	}
	c.refuseByShare(newest, c.refusalByShare(newest, CauseQueueFull, maxRetryAfter, errs.Overloaded, message))
	return nil
}
