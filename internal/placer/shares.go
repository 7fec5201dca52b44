package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareHalfLife is the time in which the weight of past prefill in the share of an
	// organisation halves. A share is thus enforced over a few seconds, and an organisation
	// that was idle gets no more than that in advance.
	shareHalfLife = 2 * time.Second
	// serviceHalfLife is the time in which the weight of past requests in the served shares
	// halves. It is long enough that an organisation with one request in some seconds counts.
	serviceHalfLife = 20 * time.Second
	// minServedShare is the share of the requests of an organisation or kind that is served
	// ahead of the order, relative to the share of all requests. The required minimum is a
	// quarter; the margin covers requests that fail after they were granted.
	minServedShare = 0.35
	// exceededShare is the prefill time of an organisation, relative to the mean of all, from
	// which its requests leave a part of the backlog that others can wait for to these.
	exceededShare = 1.5
	// exceededShareBacklog is the part of the backlog that such an organisation may use. With
	// half, nearly all of its long prompts were late in simulation, for a gain of a few
	// hundredths for others.
	exceededShareBacklog = 0.75
	// owedLateBacklog is the part of the backlog for requests that can be on time that a late
	// request may wait for if it is owed.
	owedLateBacklog = 0.5
	// sharesMemory is the time for which shares are kept after the last request that named an
	// organisation.
	sharesMemory = time.Minute
	// forgottenRequests is the number of recent requests below which an organisation or kind
	// is forgotten.
	forgottenRequests = 0.02
)

// decayingSum is a sum whose terms lose half of their weight in each half-life.
type decayingSum struct {
	value float64
	at    Time
}

func (s *decayingSum) valueAt(now Time, halfLife time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp2(-float64(now-s.at)/float64(halfLife))
}

func (s *decayingSum) add(now Time, halfLife time.Duration, x float64) {
	s.value, s.at = s.valueAt(now, halfLife)+x, now
}

// service counts recent requests, and those of them that were granted a target or refused.
type service struct{ arrived, served, refused decayingSum }

// counts returns the numbers of recent requests and of granted ones.
func (s *service) counts(now Time) (arrived, served float64) {
	return s.arrived.valueAt(now, serviceHalfLife), s.served.valueAt(now, serviceHalfLife)
}

// share returns the share of recent requests that was granted, 0 without requests.
func (s *service) share(now Time) float64 {
	arrived, served := s.counts(now)
	if arrived == 0 {
		return 0
	}
	return min(1, served/arrived)
}

// owed returns the number of requests that are missing from a served share.
func (s *service) owed(now Time, share float64) int {
	arrived, served := s.counts(now)
	return max(0, int(share*arrived-served+0.5))
}

// organisationShare is what an organisation has used.
type organisationShare struct {
	priority int
	queued   int
	prefill  decayingSum // seconds of prefill of its granted requests
	service  service
	kinds    kindShares

	owed     int     // during orderByShares: requests that go ahead of the order
	tag      float64 // during orderByShares: prefill used and queued so far
	tagGroup int     // during orderByShares: group of requests to which tag belongs
}

// kindShare is what the requests of one rank with long or short prompts have used.
type kindShare struct {
	rank     rank
	long     bool
	prefill  decayingSum   // seconds of prefill of its granted requests
	headroom time.Duration // backlog with which its requests can meet their objective, on average
	deadline time.Duration // longest time that a request had left on arrival
	service  service
	owed     int // during orderByShares: requests that go ahead of the order

	queuedAhead time.Duration // during a forecast: prefill of the requests ahead
}

// shares divides the capacity of a group between organisations by start-time fair queueing over
// the prefill time of granted requests, and guarantees each organisation and kind of request a
// minimum of service. Requests that name no organisation count as those of one more.
type shares struct {
	organisations map[string]*organisationShare
	kinds         kindShares // of all organisations
	total         service
	lastNamed     Time             // when a request last named an organisation
	order         []*queuedRequest // of the last pass over the queue
	retryPhase    float64          // position of the last Retry-After in its range, 0 to 1
}

// requestShare is the part of a queued request that shares use.
type requestShare struct {
	organisation *organisationShare // nil unless shares are in use
	kind         *kindShare         // of all organisations
	ownKind      *kindShare         // of its organisation
	owed         bool               // goes ahead of the order
	tag          float64
}

// countArrival records a new request. The first one that names an organisation puts shares into
// use.
func (c *Core) countArrival(r *queuedRequest) {
	if c.shares == nil {
		if r.Organisation == "" {
			return
		}
		c.shares = &shares{organisations: map[string]*organisationShare{}}
		for _, other := range c.queue {
			c.shares.arrive(c, other)
			other.share.organisation.queued++
		}
	}
	c.shares.arrive(c, r)
}

func (s *shares) arrive(c *Core, r *queuedRequest) {
	if r.Organisation != "" {
		s.lastNamed = c.now
	}
	o := s.organisations[r.Organisation]
	if o == nil {
		o = &organisationShare{}
		s.organisations[r.Organisation] = o
	}
	o.priority = r.rank().organisation
	long := r.PromptTokens >= longPromptTokens
	k := s.kinds.get(r.rank(), long)
	r.share.organisation, r.share.kind, r.share.ownKind = o, k, o.kinds.get(r.rank(), long)
	if r.Hedge { // its first attempt counts
		return
	}
	for _, counted := range s.accounts(r) {
		counted.arrived.add(c.now, serviceHalfLife, 1)
	}
	headroom := max(maxBacklogForLateRequests, r.firstEventDue-c.now-c.latencies.prefill(r.PromptTokens))
	if k.headroom == 0 {
		k.headroom = headroom
	}
	k.headroom += (headroom - k.headroom) / 8
	k.deadline = max(k.deadline, r.Deadline)
}

// accounts returns the accounts in which a request counts.
func (s *shares) accounts(r *queuedRequest) [4]*service {
	return [...]*service{&s.total, &r.share.organisation.service, &r.share.kind.service, &r.share.ownKind.service}
}

// kindShares is sorted by rank, short prompts first.
type kindShares []*kindShare

// get returns the account of a kind of request.
func (s *kindShares) get(of rank, long bool) *kindShare {
	i, found := slices.BinarySearchFunc(*s, kindShare{rank: of, long: long}, func(k *kindShare, wanted kindShare) int {
		if order := compareRanks(k.rank, wanted.rank); order != 0 || k.long == wanted.long {
			return order
		}
		if k.long {
			return 1
		}
		return -1
	})
	if !found {
		*s = slices.Insert(*s, i, &kindShare{rank: of, long: long})
	}
	return (*s)[i]
}

// forget removes the kinds without recent requests that are not in use.
func (s *kindShares) forget(now Time, inUse map[*kindShare]bool) {
	*s = slices.DeleteFunc(*s, func(k *kindShare) bool {
		arrived, _ := k.service.counts(now)
		return !inUse[k] && arrived < forgottenRequests
	})
}

// countGrant records a granted request.
func (c *Core) countGrant(r *queuedRequest, prefill time.Duration) {
	s := c.shares
	if s == nil {
		return
	}
	for _, counted := range s.accounts(r) {
		if !r.Hedge {
			counted.served.add(c.now, serviceHalfLife, 1)
		}
	}
	r.share.organisation.prefill.add(c.now, shareHalfLife, prefill.Seconds())
	r.share.kind.prefill.add(c.now, shareHalfLife, prefill.Seconds())
}

// countRefusal records a request that was refused because of the load. One that is refused on
// arrival for the first time comes back, and is counted then.
func (c *Core) countRefusal(r *queuedRequest) {
	if r.Hedge || r.queuedAt == c.now && r.Deadline > r.share.kind.deadline-minRetryAfter/2 {
		return
	}
	for _, counted := range c.shares.accounts(r) {
		counted.refused.add(c.now, serviceHalfLife, 1)
	}
}

// orderByShares sorts requests, which are in order of arrival, into the order in which they are
// served: first those that an organisation or kind is owed, then those that can still meet their
// objective, then late ones. Each part is in order of rank, and within a rank the organisation
// that has used the least comes first.
func (c *Core) orderByShares(queue []*queuedRequest) {
	s := c.shares
	s.findOwed(c.now)
	for _, r := range queue {
		r.late = c.cannotBeOnTime(r)
	}
	byRank := func(a, b *queuedRequest) int {
		return cmp.Or(compareBools(a.late, b.late), compareRanks(a.share.kind.rank, b.share.kind.rank))
	}
	slices.SortStableFunc(queue, byRank)
	group := 0
	for i, r := range queue {
		if i == 0 || byRank(queue[i-1], r) != 0 {
			group++
		}
		o := r.share.organisation
		if o.tagGroup != group {
			o.tagGroup, o.tag = group, o.prefill.valueAt(c.now, shareHalfLife)
		}
		r.share.tag = o.tag
		o.tag += c.latencies.prefill(r.PromptTokens).Seconds()
		r.share.owed = o.owed > 0 || r.share.kind.owed > 0
		o.owed--
		r.share.kind.owed--
	}
	slices.SortStableFunc(queue, func(a, b *queuedRequest) int {
		return cmp.Or(-compareBools(a.share.owed, b.share.owed), byRank(a, b), cmp.Compare(a.share.tag, b.share.tag))
	})
}

// cannotBeOnTime reports whether a request misses its objective even if the best target that has
// its adapter begins it now, or a load of the adapter begins now.
func (c *Core) cannotBeOnTime(r *queuedRequest) bool {
	start, shortest := Time(0), c.latencies.prefill(r.PromptTokens)
	if r.Request.Adapter.Name != "" {
		start = c.latencies.loadTime(true)
	}
	for _, pl := range r.adapter.placements {
		if serves(pl) {
			start, shortest = 0, min(shortest, c.prefillTime(pl.target, &r.Request))
		}
	}
	return c.now+start+shortest > r.firstEventDue
}

// findOwed finds how many requests each organisation and kind is owed up to the minimum of
// service.
func (s *shares) findOwed(now Time) {
	minimum := minServedShare * s.total.share(now)
	for _, o := range s.organisations {
		o.owed, o.tagGroup = o.service.owed(now, minimum), 0
	}
	for _, k := range s.kinds {
		k.owed = k.service.owed(now, minimum)
	}
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// maxBacklog returns the largest backlog that a target may have after a request was granted
// it: one with which recent requests of more urgent kinds, and of the same rank with longer or
// shorter prompts, can still meet their objectives.
func (s *shares) maxBacklog(now Time, k *kindShare) time.Duration {
	limit := time.Duration(math.MaxInt64)
	for _, other := range s.kinds {
		if compareRanks(other.rank, k.rank) > 0 {
			break
		}
		if arrived, _ := other.service.counts(now); other != k && arrived >= 1 {
			limit = min(limit, other.headroom)
		}
	}
	return limit
}

// exceedsShare reports whether an organisation uses clearly more than the mean of all with its
// priority while requests are refused.
func (s *shares) exceedsShare(now Time, o *organisationShare) bool {
	if s.total.refused.valueAt(now, serviceHalfLife) < 1 {
		return false
	}
	total, users := 0.0, 0
	for _, other := range s.organisations {
		if used := other.prefill.valueAt(now, shareHalfLife); used > 0 && other.priority == o.priority {
			total += used
			users++
		}
	}
	return users > 1 && o.prefill.valueAt(now, shareHalfLife) > exceededShare*total/float64(users)
}

// leavesRoom reports whether a target with a further request still has room for recent requests
// of more urgent kinds, and for other organisations if its own exceeds its share.
func (c *Core) leavesRoom(r *queuedRequest, best candidate) bool {
	switch {
	case c.shares == nil || best.backlog == 0:
		return true
	case !r.share.owed && c.shares.exceedsShare(c.now, r.share.organisation):
		limit := min(r.share.kind.headroom, c.shares.maxBacklog(c.now, r.share.kind))
		return best.backlog+c.prefillTime(best.target, &r.Request) <= time.Duration(exceededShareBacklog*float64(limit))
	default:
		return best.backlog+c.prefillTime(best.target, &r.Request) <= c.shares.maxBacklog(c.now, r.share.kind)
	}
}

// maxLateBacklog returns the largest backlog with which a target gets a request that cannot be
// on time. One that is owed may wait there for others.
func (c *Core) maxLateBacklog(r *queuedRequest) time.Duration {
	if c.shares == nil || !r.share.owed {
		return maxBacklogForLateRequests
	}
	limit := min(r.share.kind.headroom, c.shares.maxBacklog(c.now, r.share.kind))
	return max(maxBacklogForLateRequests, time.Duration(owedLateBacklog*float64(limit)))
}

// reserveCapacity keeps the capacity of the targets that have a request's adapter for it, if it
// can still be on time or is owed. Otherwise shorter prompts would fill each gap that is too
// small for a long one.
func (c *Core) reserveCapacity(r *queuedRequest) {
	if c.shares == nil || r.late && !r.share.owed {
		return
	}
	for _, pl := range r.adapter.placements {
		if c.usable(pl) && !slices.Contains(r.Exclude, pl.target.description.ID) {
			pl.target.reservedPass = c.dispatchPass
		}
	}
}

// forgetShares removes organisations and kinds without recent requests, and all shares when no
// request has named an organisation for sharesMemory.
func (c *Core) forgetShares() {
	s := c.shares
	if s == nil {
		return
	}
	if c.now-s.lastNamed > sharesMemory {
		c.shares = nil
		for _, r := range c.queue {
			r.share = requestShare{}
		}
		return
	}
	inUse := map[*kindShare]bool{}
	for _, r := range c.queue {
		inUse[r.share.kind], inUse[r.share.ownKind] = true, true
	}
	for name, o := range s.organisations {
		o.kinds.forget(c.now, inUse)
		if o.queued == 0 && len(o.kinds) == 0 {
			delete(s.organisations, name)
		}
	}
	s.kinds.forget(c.now, inUse)
}
