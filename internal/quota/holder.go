package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxWait is the longest time that a request waits for credit.
	MaxWait = 150 * time.Millisecond
	// CallTimeout is the time after which a call counts as failed.
	CallTimeout = 400 * time.Millisecond

	creditTime    = 250 * time.Millisecond // the demand of this time is held as credit
	refillPart    = 0.6                    // of the wanted credit, below which more is asked for
	demandTime    = 500 * time.Millisecond // over which the demand is averaged
	costRequests  = 8                      // requests over which their cost is averaged
	activeTime    = time.Second            // after its last request an organisation counts as active
	callSpacing   = 10 * time.Millisecond  // between two calls to a coordinator
	scarceSpacing = 50 * time.Millisecond  // between two calls while credit is scarce
	reportSpacing = 200 * time.Millisecond // between two calls that ask for nothing
	idleSpacing   = time.Second            // between the calls of an owner for an inactive organisation
	// activeValidity and idleValidity are the times after a call for which a VM doesn't use its
	// share of the rate. They cover the loss of a call.
	activeValidity = 600 * time.Millisecond
	idleValidity   = 2 * time.Second
	// validityMargin covers the time between the call and its arrival at the coordinator.
	validityMargin = 100 * time.Millisecond
	minRetry       = 250 * time.Millisecond
	maxRetry       = 1500 * time.Millisecond
)

// TakeoverRetention is how long after a takeover the former owner of a group counts as possibly at
// work, unless it is heard from earlier.
const TakeoverRetention = 30 * time.Second

// Source is the coordinator of an organisation: the owner of a group in an epoch.
type Source struct {
	Group string
	Epoch int64
}

// Place is the part that a VM has in the deployment.
type Place struct {
	Groups      int // that the VM owns
	Unconfirmed int // further groups that it owns and whose former owner may be at work
	AllGroups   int // that have an owner
	VMs         int
}

func (p Place) ownsGroup() bool { return p.Groups+p.Unconfirmed > 0 }

// Holder keeps the credit of one VM. It is not safe for concurrent use.
type Holder struct {
	vm       string
	bounds   Bounds
	place    Place
	accounts map[string]*account
	names    []string // of the accounts, sorted
	calls    map[Source]callState
}

// callState is the state of the calls to one coordinator.
type callState struct {
	running bool
	startAt time.Duration // of the last call
}

// account is what a VM holds of the quota of one organisation.
type account struct {
	limit      Limit
	source     Source
	lots       []lot   // credit, in the order of expiry
	unused     float64 // expired credit to be returned to source
	debt       float64 // used without credit and not reported, at most maxOverdraft when it is taken
	reported   float64 // part of debt that a call reports whose reply is awaited
	queued     float64 // tokens of requests that have been admitted and have not begun
	waiting    []*Waiter
	demand     float64 // tokens per second, as of demandAt
	demandAt   time.Duration
	usualCost  float64       // of a request, averaged
	requestAt  time.Duration // of the last request that needed credit, negative if there was none
	calledAt   time.Duration // start of the last call, negative if there was none
	scarce     bool          // the last call got less than it asked for
	out        time.Duration // until which the bucket is empty, according to the coordinator
	overload   float64
	validUntil time.Duration // until which the VM doesn't use its share of the rate
	promise    time.Duration // until which it has told its coordinator so
	unanswered bool          // no call was answered since
	shareLevel float64       // tokens of the VM's share of the rate, as of shareAt
	shareAt    time.Duration
}

type lot struct {
	tokens float64
	until  time.Duration
}

// Waiter is a request that waits for credit.
type Waiter struct {
	organisation string
	cost         float64
	repeat       bool
}

// NewHolder returns a holder without credit.
func NewHolder(vm string, b Bounds) *Holder {
	return &Holder{vm: vm, bounds: b, accounts: map[string]*account{}, calls: map[Source]callState{}, place: Place{AllGroups: 1, VMs: 1}}
}

// SetLimits sets the limits of all organisations that have one. The requests that wait for credit
// of other organisations are returned; they may run.
func (h *Holder) SetLimits(now time.Duration, limits map[string]Limit) []*Waiter {
	var released []*Waiter
	for _, organisation := range h.names {
		a := h.accounts[organisation]
		if limits[organisation].PerSecond <= 0 {
			released = append(released, a.waiting...)
			delete(h.accounts, organisation)
		}
	}
	for organisation, limit := range limits {
		if limit.PerSecond <= 0 {
			continue
		}
		a := h.accounts[organisation]
		if a == nil {
			a = &account{calledAt: -time.Hour, requestAt: -time.Hour, shareAt: now}
			h.accounts[organisation] = a
		}
		if limit == a.limit {
			continue
		}
		h.refillShare(now, a) // at the former rate
		if a.limit.PerSecond > limit.PerSecond {
			for i := range a.lots {
				a.lots[i].tokens *= limit.PerSecond / a.limit.PerSecond
			}
		}
		a.limit = limit
	}
	h.names = slices.Sorted(maps.Keys(h.accounts))
	return released
}

// SetPlace sets this VM's place, and the coordinators by organisation. Credit of an earlier
// coordinator may be used until it expires, but is not returned to another one.
func (h *Holder) SetPlace(p Place, sources map[string]Source) {
	p.AllGroups, p.VMs = max(1, p.AllGroups), max(1, p.VMs)
	h.place = p
	for organisation, a := range h.accounts {
		if source := sources[organisation]; source != a.source {
			a.source, a.unused, a.out, a.scarce, a.unanswered = source, 0, 0, false, false
		}
	}
	for source, state := range h.calls {
		if !state.running && !slices.ContainsFunc(h.sources(), func(s Source) bool { return s == source }) {
			delete(h.calls, source)
		}
	}
}

func (h *Holder) sources() []Source {
	var all []Source
	for _, organisation := range h.names {
		a := h.accounts[organisation]
		if a.source.Group != "" && !slices.Contains(all, a.source) {
			all = append(all, a.source)
		}
	}
	return all
}

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	Wait     *Waiter       // if the request waits for credit
	Retry    time.Duration // if it is rejected: when the caller should try again, at the earliest
}

// Admit decides on a request. It counts the tokens of one that is admitted. own is set for a
// request that this VM counts itself: its tokens may be reported afterwards, within limits.
func (h *Holder) Admit(now time.Duration, organisation string, cost float64, own bool) Verdict {
	a := h.accounts[organisation]
	if a == nil {
		return Verdict{Admitted: true}
	}
	if cost > h.bounds.largest(a.limit) {
		return Verdict{Retry: maxRetry}
	}
	if own && h.takeOverdraft(now, a, cost) {
		return Verdict{Admitted: true}
	}
	a.addDemand(now, cost)
	if len(a.waiting) == 0 && h.take(now, a, cost) {
		return Verdict{Admitted: true}
	}
	if a.out > now+MaxWait || a.scarce && len(a.waiting) > 0 && a.waitingTokens()+cost > a.limit.PerSecond*MaxWait.Seconds() {
		return Verdict{Retry: a.retry(now)}
	}
	w := &Waiter{organisation: organisation, cost: cost}
	a.waiting = append(a.waiting, w)
	return Verdict{Wait: w}
}

// Scarce reports whether credit of an organisation is short now, as far as this VM knows: the bucket
// is empty, the last call got less than it asked for, or requests wait for credit.
func (h *Holder) Scarce(now time.Duration, organisation string) bool {
	a := h.accounts[organisation]
	return a != nil && (now < a.out || len(a.waiting) > 0 || a.scarce && now-a.calledAt < activeTime)
}

// Repeat decides on a further attempt at a request that may have run before. It goes before the
// requests that wait, and is rejected only if there is neither credit nor overdraft for it: the work
// of the earlier attempt would be lost, but debt without a bound would break the limit.
func (h *Holder) Repeat(now time.Duration, organisation string, cost float64) Verdict {
	a := h.accounts[organisation]
	if a == nil {
		return Verdict{Admitted: true}
	}
	if cost > h.bounds.largest(a.limit) {
		return Verdict{Retry: maxRetry}
	}
	a.addDemand(now, cost)
	if h.take(now, a, cost) || h.takeOverdraft(now, a, cost) {
		return Verdict{Admitted: true}
	}
	if a.out > now+MaxWait {
		return Verdict{Retry: a.retry(now)}
	}
	w := &Waiter{organisation: organisation, cost: cost, repeat: true}
	first := slices.IndexFunc(a.waiting, func(other *Waiter) bool { return !other.repeat })
	if first < 0 {
		first = len(a.waiting)
	}
	a.waiting = slices.Insert(a.waiting, first, w)
	return Verdict{Wait: w}
}

// takeOverdraft takes the tokens of a request from what this VM may use before it reports it.
func (h *Holder) takeOverdraft(now time.Duration, a *account, cost float64) bool {
	h.refillShare(now, a)
	if now < a.out || a.debt+cost > h.maxOverdraft(a) {
		return false
	}
	a.debt += cost
	return true
}

// GiveUp ends the wait of a request for credit.
func (h *Holder) GiveUp(now time.Duration, w *Waiter) Verdict {
	a := h.accounts[w.organisation]
	if a == nil {
		return Verdict{Admitted: true}
	}
	a.waiting = slices.DeleteFunc(a.waiting, func(other *Waiter) bool { return other == w })
	return Verdict{Retry: a.retry(now)}
}

// Queue records that an admitted request waits for a target, and Begin that it has got one.
func (h *Holder) Queue(organisation string, cost float64) {
	if a := h.accounts[organisation]; a != nil {
		a.queued += cost
	}
}

// Begin ends what Queue has begun.
func (h *Holder) Begin(organisation string, cost float64) {
	if a := h.accounts[organisation]; a != nil {
		a.queued = max(0, a.queued-cost)
	}
}

// Refund returns the tokens of an admitted request that has not run and will not run.
func (h *Holder) Refund(now time.Duration, organisation string, cost float64) {
	a := h.accounts[organisation]
	if a == nil {
		return
	}
	cost = min(cost, h.bounds.largest(a.limit)) // the limit may have been lowered since the charge
	unreported := min(cost, max(0, a.debt-a.reported))
	a.debt -= unreported
	if cost > unreported {
		a.lots = append(a.lots, lot{cost - unreported, now + CreditLifetime})
	}
}

// Tick returns the waiting requests for which there is credit now, and counts them.
func (h *Holder) Tick(now time.Duration) []*Waiter {
	var admitted []*Waiter
	for _, organisation := range h.names {
		a := h.accounts[organisation]
		for len(a.waiting) > 0 && h.take(now, a, a.waiting[0].cost) {
			admitted = append(admitted, a.waiting[0])
			a.waiting = slices.Delete(a.waiting, 0, 1)
		}
	}
	return admitted
}

// Due returns the coordinators that are to be called now.
func (h *Holder) Due(now time.Duration) []Source {
	var due []Source
	for _, organisation := range h.names {
		a := h.accounts[organisation]
		state, called := h.calls[a.source]
		if a.source.Group == "" || state.running || called && now-state.startAt < callSpacing || slices.Contains(due, a.source) {
			continue
		}
		if h.isDue(now, a) {
			due = append(due, a.source)
		}
	}
	return due
}

func (h *Holder) isDue(now time.Duration, a *account) bool {
	since, active := now-a.calledAt, now-a.requestAt < activeTime
	a.expire(now)
	switch {
	case a.scarce && since < scarceSpacing:
		return false
	case len(a.waiting) > 0:
		return true
	case active && a.wanted(now) > 0 && a.credit() < refillPart*a.demandNow(now)*creditTime.Seconds():
		return true
	case active && h.place.ownsGroup(), a.debt > 0, a.unused > 0:
		return since >= reportSpacing
	}
	return h.place.ownsGroup() && since >= idleSpacing
}

// BeginCall returns the call to a coordinator, for all its organisations.
func (h *Holder) BeginCall(now time.Duration, source Source) Call {
	call := Call{VM: h.vm, Groups: h.place.Groups, Unconfirmed: h.place.Unconfirmed}
	h.calls[source] = callState{running: true, startAt: now}
	for _, organisation := range h.names {
		a := h.accounts[organisation]
		if a.source != source {
			continue
		}
		a.expire(now)
		active := now-a.requestAt < activeTime
		if !h.place.ownsGroup() && !active && a.debt == 0 && a.unused == 0 {
			continue
		}
		row := Row{Organisation: organisation, Debt: a.debt, Unused: a.unused, Pending: a.credit() + a.queued, Valid: idleValidity}
		if active {
			row.Valid, row.Demand, row.Want = activeValidity, a.demandNow(now), a.wanted(now)
		}
		if len(a.waiting) > 0 {
			row.Need = max(0, a.waiting[0].cost-a.credit())
		}
		row.Valid = a.promiseFor(now, row.Valid)
		a.calledAt, a.unused, a.reported = now, 0, a.debt
		call.Rows = append(call.Rows, row)
	}
	return call
}

// promiseFor returns for how long the VM does not use its share of the rate from a call on. The
// coordinator may receive the call although no reply comes, so the promise binds from the call on;
// calls without a reply don't extend it, or the VM would never use its share.
func (a *account) promiseFor(now, valid time.Duration) time.Duration {
	if a.unanswered {
		return max(0, a.promise-now)
	}
	a.unanswered, a.promise = true, now+valid
	if until := a.promise + validityMargin; until > a.validUntil {
		a.validUntil, a.shareLevel, a.shareAt = until, 0, until
	}
	return valid
}

// EndCall applies the reply to a call that began at a time. reply is nil if there is none in time.
func (h *Holder) EndCall(now time.Duration, source Source, call Call, beganAt time.Duration, reply *Reply) {
	h.calls[source] = callState{startAt: beganAt}
	for _, row := range call.Rows {
		if a := h.accounts[row.Organisation]; a != nil {
			a.reported = 0
		}
	}
	if reply == nil {
		return
	}
	rows := slices.Clone(call.Rows)
	for _, g := range reply.Grants {
		a := h.accounts[g.Organisation]
		i := slices.IndexFunc(rows, func(r Row) bool { return r.Organisation == g.Organisation })
		if a == nil || i < 0 {
			continue
		}
		row := rows[i]
		rows = slices.Delete(rows, i, i+1) // a second grant for the same row counts for nothing
		a.debt = max(0, a.debt-row.Debt)
		credit := min(amount(g.Credit), h.bounds.largest(a.limit))
		if credit > 0 {
			a.lots = append(a.lots, lot{credit, beganAt + CreditLifetime})
		}
		a.unanswered = false
		a.validUntil = max(a.validUntil, beganAt+row.Valid+validityMargin)
		a.shareLevel, a.shareAt = 0, a.validUntil
		if a.source == source {
			a.scarce, a.overload = credit < row.Want, amount(g.Overload)
			a.out = 0
			if g.Out > 0 {
				a.out = now + min(g.Out, maxOut)
			}
		}
	}
}

// take takes the tokens of a request from the credit, or from this VM's share of the rate if no
// coordinator has replied for some time.
func (h *Holder) take(now time.Duration, a *account, cost float64) bool {
	a.expire(now)
	if a.credit() < cost {
		return h.takeShare(now, a, cost)
	}
	for cost > 0 && len(a.lots) > 0 {
		part := min(cost, a.lots[0].tokens)
		cost -= part
		if a.lots[0].tokens -= part; a.lots[0].tokens <= 0 {
			a.lots = slices.Delete(a.lots, 0, 1)
		}
	}
	return true
}

func (h *Holder) takeShare(now time.Duration, a *account, cost float64) bool {
	h.refillShare(now, a)
	if now < a.validUntil || a.shareLevel < cost {
		return false
	}
	a.shareLevel -= cost
	return true
}

// refillShare adds to the share of the rate that this VM uses while no coordinator replies, and
// to what it may use of the tolerance.
func (h *Holder) refillShare(now time.Duration, a *account) {
	if now < a.validUntil || now <= a.shareAt {
		return
	}
	seconds := (now - a.shareAt).Seconds()
	a.shareAt = now
	part := min(1, float64(h.place.Groups)/float64(h.place.AllGroups))
	size := part * (bucketSize(a.limit) + fallbackPart*h.bounds.tolerance(a.limit))
	a.shareLevel = min(size, a.shareLevel+seconds*part*a.limit.PerSecond)
	a.debt = max(0, a.debt-h.maxOverdraft(a)*seconds/h.bounds.window().Seconds())
}

// maxOverdraft returns the tokens that this VM may use before it reports them.
func (h *Holder) maxOverdraft(a *account) float64 {
	return h.bounds.maxDebt(a.limit) / float64(h.place.VMs)
}

// expire removes the expired credit.
func (a *account) expire(now time.Duration) {
	kept := a.lots[:0]
	for _, l := range a.lots {
		if l.until > now {
			kept = append(kept, l)
		} else {
			a.unused += l.tokens
		}
	}
	a.lots = kept
}

func (a *account) credit() float64 {
	sum := 0.0
	for _, l := range a.lots {
		sum += l.tokens
	}
	return sum
}

func (a *account) waitingTokens() float64 {
	sum := 0.0
	for _, w := range a.waiting {
		sum += w.cost
	}
	return sum
}

func (a *account) addDemand(now time.Duration, cost float64) {
	a.demand = a.demandNow(now) + cost/demandTime.Seconds()
	a.demandAt, a.requestAt = now, now
	a.usualCost += (cost - a.usualCost) / costRequests
}

func (a *account) demandNow(now time.Duration) float64 {
	return a.demand * math.Exp(-(now-a.demandAt).Seconds()/demandTime.Seconds())
}

// wanted returns the credit to ask for. Credit for less than two requests is not held in advance,
// because the parts of all holders together would be missing where they make up a request.
func (a *account) wanted(now time.Duration) float64 {
	ahead := a.demandNow(now) * creditTime.Seconds()
	if ahead < 2*a.usualCost {
		ahead = 0
	}
	return max(0, a.waitingTokens()+ahead-a.credit())
}

// retry returns when the caller of a rejected request should try again, at the earliest. The more
// the demand exceeds the limit, the longer are callers kept away.
func (a *account) retry(now time.Duration) time.Duration {
	expected := max(0, a.out-now) + time.Duration(max(1, min(maxRetry.Seconds()/minRetry.Seconds(), a.overload))*float64(minRetry))
	return min(maxRetry, expected)
}
