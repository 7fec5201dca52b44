package quota

import "time"

// Coordinator keeps the token buckets of organisations for all VMs. It is not safe for concurrent
// use.
//
// The share of the rate of each target group whose owner is silent is not granted, because that
// owner uses it on its own authority. The same holds for a group whose former owner may not know
// that it was replaced, up to half of what is granted: otherwise a deployment with one group
// would get nothing after the death of its owner.
type Coordinator struct {
	bounds  Bounds
	full    bool
	limits  map[string]Limit
	buckets map[string]*bucket // by organisation
}

// bucket is the token bucket of one organisation.
type bucket struct {
	limit     Limit
	tokens    float64 // as of at, negative if more was used than allowed
	at        time.Duration
	groups    int                // that had an owner at the last call
	members   map[string]*member // VMs that have called, by name
	scarceAt  time.Duration      // when a call last got less than it asked for
	wasScarce bool               // scarceAt is set
}

// member is a VM that takes part in the quota of an organisation.
type member struct {
	groups       int
	unconfirmed  int
	validUntil   time.Duration // the VM doesn't use its share of the rate until then
	demand       float64
	pending      float64 // credit, and tokens of queued requests, at most
	pendingUntil time.Duration
}

const (
	// pendingRetention is how long the pending tokens of a silent VM are counted: until its
	// credit has expired and most of its queued requests have run.
	pendingRetention = 2 * time.Second
	// maxValidity bounds the time that a VM may state in Row.Valid.
	maxValidity = 5 * time.Second
	// maxOut bounds the time that a coordinator states in Grant.Out.
	maxOut = 5 * time.Second
	// scarceRetention is how long after its last effect a limit counts as binding.
	scarceRetention = 2 * time.Second
)

// NewCoordinator returns a coordinator without limits. Its buckets are empty, because an earlier
// coordinator may have granted the burst, unless full is set.
func NewCoordinator(b Bounds, full bool) *Coordinator {
	return &Coordinator{bounds: b, full: full, buckets: map[string]*bucket{}}
}

// SetLimits sets the limits of all organisations that have one. A bucket is first filled at the former
// rate up to now. If it then holds more than a lowered limit allows, it loses the excess.
func (c *Coordinator) SetLimits(now time.Duration, limits map[string]Limit) {
	c.limits = limits
	for organisation, b := range c.buckets {
		limit := limits[organisation]
		if limit.PerSecond <= 0 {
			delete(c.buckets, organisation)
			continue
		}
		if limit == b.limit {
			continue
		}
		c.refill(now, b.groups, b)
		b.limit = limit
		b.tokens = min(b.tokens, bucketSize(limit))
	}
}

// Handle answers a call of a VM. groups is the number of target groups that have an owner.
func (c *Coordinator) Handle(now time.Duration, groups int, call Call) Reply {
	var reply Reply
	for _, row := range call.Rows {
		if b := c.bucket(now, row.Organisation); b != nil {
			reply.Grants = append(reply.Grants, c.handleRow(now, max(1, groups), b, &call, row))
		}
	}
	return reply
}

func (c *Coordinator) bucket(now time.Duration, organisation string) *bucket {
	limit := c.limits[organisation]
	if limit.PerSecond <= 0 {
		return nil
	}
	b := c.buckets[organisation]
	if b == nil {
		b = &bucket{limit: limit, at: now, groups: 1, members: map[string]*member{}}
		if c.full {
			b.tokens = bucketSize(limit)
		}
		c.buckets[organisation] = b
	}
	return b
}

func (c *Coordinator) handleRow(now time.Duration, groups int, b *bucket, call *Call, row Row) Grant {
	c.refill(now, groups, b)
	b.groups = groups
	m := b.members[call.VM]
	if m == nil {
		m = &member{}
		b.members[call.VM] = m
	}
	m.groups, m.unconfirmed = max(0, min(groups, call.Groups)), max(0, min(groups, call.Unconfirmed))
	m.validUntil = now + max(0, min(maxValidity, row.Valid))
	m.demand, m.pending, m.pendingUntil = amount(row.Demand), amount(row.Pending), now+pendingRetention
	debt := min(amount(row.Debt), c.bounds.maxDebt(b.limit))
	b.tokens = min(b.tokens+amount(row.Unused), max(b.tokens, bucketSize(b.limit))) - debt
	part, demand := b.granted(now, groups)
	want := amount(row.Want)
	overdraft := requestPart * c.bounds.tolerance(b.limit)
	credit := share(min(b.tokens, part*bucketSize(b.limit)), overdraft, want, min(want, amount(row.Need)), m.demand, demand)
	if credit < want {
		b.scarceAt, b.wasScarce = now, true
	}
	b.tokens -= credit
	m.pending += credit
	grant := Grant{Organisation: row.Organisation, Credit: credit, Overload: demand / b.limit.PerSecond}
	if b.tokens <= 0 {
		grant.Out = maxOut
		if rate := part * b.limit.PerSecond; rate > 0 {
			grant.Out = min(maxOut, time.Duration(min(maxOut.Seconds(), -b.tokens/rate)*float64(time.Second))+time.Millisecond)
		}
	}
	return grant
}

// granted returns the part of the rate that is granted now, and the demand of all VMs.
func (b *bucket) granted(now time.Duration, groups int) (part, demand float64) {
	sure, unsure := 0.0, 0.0
	for _, m := range b.members {
		if m.validUntil >= now {
			sure, unsure, demand = sure+float64(m.groups), unsure+float64(m.unconfirmed), demand+m.demand
		}
	}
	return min(1, max(sure, (sure+unsure)/2)/float64(groups)), demand
}

// share returns the credit for a VM that wants some. A VM gets at most its part of what is
// available by demand if that is scarce, but one waiting request is served as a whole, also if
// that overdraws the bucket by as much as is allowed: otherwise long requests would never run.
func share(available, overdraft, want, need, demand, total float64) float64 {
	switch {
	case available <= 0 || available+overdraft < need:
		return 0
	case want <= available/2:
		return want
	case total > 0:
		return max(need, min(want, available*demand/total))
	}
	return max(need, min(want, available))
}

// refill adds what the rate allows since the last call. While requests for the tokens are pending,
// the bucket is filled up only as far as all of it may run in one window.
func (c *Coordinator) refill(now time.Duration, groups int, b *bucket) {
	if now <= b.at {
		return
	}
	sure, unsure, pending := 0.0, 0.0, 0.0
	for vm, m := range b.members {
		if m.validUntil > b.at {
			seconds := (min(now, m.validUntil) - b.at).Seconds() / float64(groups)
			sure, unsure = sure+float64(m.groups)*seconds, unsure+float64(m.unconfirmed)*seconds
		}
		switch {
		case m.pendingUntil >= now:
			pending += m.pending
		case m.validUntil < now:
			delete(b.members, vm)
		}
	}
	seconds := min(max(sure, (sure+unsure)/2), (now - b.at).Seconds())
	b.at = now
	size := bucketSize(b.limit)
	room := min(size, size+pendingPart*c.bounds.tolerance(b.limit)-pending)
	b.tokens = max(b.tokens, min(room, b.tokens+seconds*b.limit.PerSecond))
}

// State describes the limit of an organisation at its coordinator.
type State struct {
	Limit   Limit
	Demand  float64 // tokens per second, of all VMs that have called recently
	Share   float64 // of the rate that the coordinator grants
	Binding bool    // the limit has recently held requests up
}

// States returns the state of each organisation of which a VM has called.
func (c *Coordinator) States(now time.Duration, groups int) map[string]State {
	states := make(map[string]State, len(c.buckets))
	for organisation, b := range c.buckets {
		s := State{Limit: b.limit, Binding: b.wasScarce && now-b.scarceAt < scarceRetention}
		s.Share, s.Demand = b.granted(now, max(1, groups))
		states[organisation] = s
	}
	return states
}
