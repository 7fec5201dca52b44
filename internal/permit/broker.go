package permit

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/policy/routing"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// Owners calls the owner of a group, here or on another VM. A call that fails
// with errs.PeerUnavailable or errs.Timeout may have taken effect.
type Owners interface {
	Acquire(ctx context.Context, owner string, request rpcapi.AcquireRequest) (rpcapi.AcquireReply, error)
	Release(ctx context.Context, owner string, request rpcapi.ReleaseRequest) (rpcapi.ReleaseReply, error)
	Cancel(ctx context.Context, owner string, request rpcapi.CancelRequest) (rpcapi.CancelReply, error)
	Progress(ctx context.Context, owner string, request rpcapi.ProgressRequest) (rpcapi.ProgressReply, error)
}

// Broker obtains and returns permits. It implements frontend.Permits.
type Broker struct {
	self     model.VM
	table    *Table
	holdings *Holdings
	owners   Owners
	returns  *returnQueue
	progress *progressQueue
	routing  routing.Params
	events   timeline.Recorder
	attempts atomic.Uint64
}

// NewBroker returns a broker. Run must be called for permits to be returned.
func NewBroker(self model.VM, table *Table, holdings *Holdings, owners Owners, events timeline.Recorder) *Broker {
	return &Broker{
		self: self, table: table, holdings: holdings, owners: owners, events: events,
		returns: newReturnQueue(table, holdings, owners), progress: newProgressQueue(table, owners), routing: routing.DefaultParams(),
	}
}

// Run returns permits and sends progress reports until ctx ends.
func (b *Broker) Run(ctx context.Context) {
	go b.progress.run(ctx)
	b.returns.run(ctx)
}

// Report tells the permit's owner the cadence of a running request. It does not
// block; reports that cannot be sent are dropped.
func (b *Broker) Report(permit core.Permit, progress core.Progress) {
	progress.ID = permit.Request
	progress.Target = permit.Target.Name
	b.progress.add(permit.Group, progress)
}

// Unreturned returns the number of permits whose return is not acknowledged.
func (b *Broker) Unreturned() int { return b.returns.len() }

const (
	// noOwnerPause is the pause before asking again while a group has no
	// reachable owner. A takeover takes a few heartbeat intervals.
	noOwnerPause = 50 * time.Millisecond
	// ownerRounds bounds how often all candidates are asked.
	ownerRounds = 200
)

// Acquire ranks the groups and waits in the queue of the best one. It moves to
// another group only when the owner refuses in a way that another group can
// help with, or when the adapter has become resident elsewhere only. The error
// always says that the request was not run.
func (b *Broker) Acquire(ctx context.Context, request core.Request) (core.Permit, error) {
	var last error = errs.NotRun(errs.NoTarget, "no target group serves the request")
	started := time.Now()
	for round := 0; round < ownerRounds; round++ {
		permit, err := b.acquireRound(ctx, request, started)
		if err == nil {
			return permit, nil
		}
		last = err
		if ctx.Err() != nil || !triesElsewhere(err) {
			break
		}
		if errs.Is(err, errs.AdapterNotResident) {
			continue // resident elsewhere: rank again at once
		}
		if !pause.For(ctx, noOwnerPause) {
			break
		}
	}
	return core.Permit{}, notRun(last)
}

// acquireRound asks the groups in the order of their rank.
func (b *Broker) acquireRound(ctx context.Context, request core.Request, started time.Time) (core.Permit, error) {
	var last error = errs.NotRun(errs.NoTarget, "no target group serves the request")
	for _, candidate := range b.rank(request) {
		attempt := request
		attempt.Deadline = request.Deadline - time.Since(started)
		permit, err := b.acquireFrom(ctx, candidate.Group, attempt)
		if err == nil {
			return permit, nil
		}
		last = err
		if ctx.Err() != nil || !triesElsewhere(err) || errs.Is(err, errs.AdapterNotResident) {
			break
		}
	}
	return core.Permit{}, last
}

func (b *Broker) rank(request core.Request) []routing.Candidate {
	return routing.Rank(b.table.Candidates(request), b.self, b.routing, tiebreak(request.Adapter))
}

// residentElsewhere reports whether the adapter of a waiting request is resident
// in a better group and not in the one where it waits.
func (b *Broker) residentElsewhere(request core.Request, group string) bool {
	ranked := b.rank(request)
	if len(ranked) == 0 || ranked[0].Group == group || !ranked[0].Resident {
		return false
	}
	for _, candidate := range ranked {
		if candidate.Group == group {
			return candidate.NeedsLoad && !candidate.Resident
		}
	}
	return false
}

// triesElsewhere reports whether another group or the group's next owner may
// serve a request that was refused with err.
func triesElsewhere(err error) bool {
	switch errs.As(err).Code {
	case errs.NotOwner, errs.StaleEpoch, errs.PeerUnavailable, errs.NoTarget, errs.Draining,
		errs.AdapterLoadFailed, errs.AdapterNotResident:
		return true
	}
	return false
}

func notRun(err error) error {
	typed := errs.As(err)
	if typed.Code == errs.Internal || typed.Code == errs.PeerUnavailable {
		return errs.Wrap(err, errs.NoTarget, "no owner answered").WithRan(errs.RanNo)
	}
	return typed.WithRan(errs.RanNo)
}

// tiebreak ranks groups for one adapter version by rendezvous hashing.
func tiebreak(adapter model.AdapterVersion) func(string) uint64 {
	name := adapter.String()
	return func(group string) uint64 { return xxhash.Sum64String(name + "|" + group) }
}

// acquireFrom makes one attempt at one owner under its own attempt id, so that
// an attempt that was given up cannot be confused with a later one.
func (b *Broker) acquireFrom(ctx context.Context, group string, request core.Request) (core.Permit, error) {
	owner, epoch, ok := b.table.Owner(group)
	if !ok {
		return core.Permit{}, errs.NotRun(errs.NoTarget, "group "+group+" has no known owner")
	}
	request.ID += model.RequestID("." + strconv.FormatUint(b.attempts.Add(1), 36))
	reply, err := b.call(ctx, owner.VM, epoch, rpcapi.AcquireRequest{Group: group, Request: request})
	if err != nil {
		b.returns.add(returned{group: group, epoch: epoch, cancel: request.ID})
		return core.Permit{}, err
	}
	if reply.Err != nil {
		return core.Permit{}, reply.Err
	}
	if err := b.holdings.Accept(reply.Permit); err != nil {
		b.events.Record(timeline.Event{Kind: timeline.PermitRejected, Request: request.ID, Group: group, Epoch: reply.Permit.Epoch})
		return core.Permit{}, err
	}
	return reply.Permit, nil
}

// call waits for the owner's reply, but not beyond a takeover of the group, since
// a paused former owner would keep the request waiting until its deadline, and
// not when the adapter has become resident in another group.
func (b *Broker) call(ctx context.Context, owner string, epoch model.Epoch, request rpcapi.AcquireRequest) (rpcapi.AcquireReply, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go b.watch(callCtx, cancel, epoch, request)
	reply, err := b.owners.Acquire(callCtx, owner, request)
	if cause := context.Cause(callCtx); cause != nil && ctx.Err() == nil {
		return reply, cause
	}
	return reply, err
}

// rerouteInterval is the time between looks whether a waiting request is better
// off in another group.
const rerouteInterval = 300 * time.Millisecond

// watch cancels a wait when its group is taken over or another group is better.
func (b *Broker) watch(ctx context.Context, cancel context.CancelCauseFunc, epoch model.Epoch, request rpcapi.AcquireRequest) {
	raised := b.holdings.Raised(request.Group, epoch)
	ticker := time.NewTicker(rerouteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-raised:
			cancel(errs.NotRun(errs.StaleEpoch, "group "+request.Group+" was taken over while waiting"))
			return
		case <-ticker.C:
			if b.residentElsewhere(request.Request, request.Group) {
				cancel(errs.NotRun(errs.AdapterNotResident, "the adapter is resident in another group"))
				return
			}
		}
	}
}

// Release ends the use of a permit and tells the group's owner, again and again
// until it answers.
func (b *Broker) Release(permit core.Permit, release core.PermitReleased) {
	release.ID = permit.Request
	release.Target = permit.Target.Name
	release.Organisation, release.Kind = permit.Organisation, permit.Kind
	release.Holder = model.Holder{VM: b.self.Name, Incarnation: b.self.Incarnation}
	b.returns.add(returned{group: permit.Group, epoch: permit.Epoch, release: &release})
	b.holdings.Drop(permit.Request)
}
