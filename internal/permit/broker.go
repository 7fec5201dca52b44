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

// OwnerClient calls the owner of a group, on this VM or on another one. A call
// that fails with errs.PeerUnavailable or errs.Timeout may have taken effect.
type OwnerClient interface {
	Acquire(ctx context.Context, owner string, request rpcapi.AcquireRequest) (rpcapi.AcquireReply, error)
	Release(ctx context.Context, owner string, request rpcapi.ReleaseRequest) (rpcapi.ReleaseReply, error)
	Cancel(ctx context.Context, owner string, request rpcapi.CancelRequest) (rpcapi.CancelReply, error)
	Progress(ctx context.Context, owner string, request rpcapi.ProgressRequest) (rpcapi.ProgressReply, error)
}

// Broker obtains permits from the owners of groups and returns them. It implements
// frontend.Permits.
type Broker struct {
	self         model.VM
	table        *RoutingTable
	holdings     *Holdings
	owners       OwnerClient
	returns      *returnQueue
	progress     *progressQueue
	routing      routing.Params
	events       timeline.Recorder
	attemptCount atomic.Uint64
}

// NewBroker returns a broker. It returns permits and sends progress reports only
// while Run is running.
func NewBroker(self model.VM, table *RoutingTable, holdings *Holdings, owners OwnerClient, events timeline.Recorder) *Broker {
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

// Report queues a report on the token cadence of a running request for the owner
// of its permit. It does not block. Reports that cannot be sent are dropped.
func (b *Broker) Report(permit core.Permit, progress core.Progress) {
	progress.ID = permit.Request
	progress.Target = permit.Target.Name
	b.progress.add(permit.Group, progress)
}

// PendingReturns returns the number of releases and cancellations that no owner
// has acknowledged yet.
func (b *Broker) PendingReturns() int { return b.returns.len() }

const (
	// ownerRetryDelay is the delay before the next round while a group has no
	// reachable owner. A takeover takes a few heartbeat intervals.
	ownerRetryDelay = 50 * time.Millisecond
	// maxAcquireRounds limits how often all candidate groups are tried.
	maxAcquireRounds = 200
)

// Acquire ranks the groups and waits in the queue of the best one. It tries the
// next group only after an error for which retryable returns true. If the adapter
// has become resident in a better group, it ranks the groups again. A returned
// error always states that the request was not run.
func (b *Broker) Acquire(ctx context.Context, request core.Request) (core.Permit, error) {
	var lastErr error = errs.NotRun(errs.NoTarget, "no target group serves the request")
	startedAt := time.Now()
	for round := 0; round < maxAcquireRounds; round++ {
		permit, err := b.acquireRound(ctx, request, startedAt)
		if err == nil {
			return permit, nil
		}
		lastErr = err
		if ctx.Err() != nil || !retryable(err) {
			break
		}
		if errs.Is(err, errs.AdapterNotResident) {
			continue // resident in another group: rank again without delay
		}
		if !pause.For(ctx, ownerRetryDelay) {
			break
		}
	}
	return core.Permit{}, notRun(lastErr)
}

// acquireRound tries the candidate groups in the order of their rank.
func (b *Broker) acquireRound(ctx context.Context, request core.Request, startedAt time.Time) (core.Permit, error) {
	var lastErr error = errs.NotRun(errs.NoTarget, "no target group serves the request")
	for _, candidate := range b.rank(request) {
		attempt := request
		attempt.Deadline = request.Deadline - time.Since(startedAt)
		permit, err := b.acquireInGroup(ctx, candidate.Group, attempt)
		if err == nil {
			return permit, nil
		}
		lastErr = err
		if ctx.Err() != nil || !retryable(err) || errs.Is(err, errs.AdapterNotResident) {
			break
		}
	}
	return core.Permit{}, lastErr
}

// rank returns the candidate groups of a request, the best one first.
func (b *Broker) rank(request core.Request) []routing.Candidate {
	return routing.Rank(b.table.Candidates(request), b.self, b.routing, rendezvousTiebreak(request.Adapter))
}

// betterGroupHasAdapter reports whether the adapter of a request that waits in the
// given group is resident in the best group but not in the given one.
func (b *Broker) betterGroupHasAdapter(request core.Request, group string) bool {
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

// retryable reports whether another group, or the next owner of the same group, may
// serve a request that failed with err.
func retryable(err error) bool {
	switch errs.As(err).Code {
	case errs.NotOwner, errs.StaleEpoch, errs.PeerUnavailable, errs.NoTarget, errs.Draining,
		errs.AdapterLoadFailed, errs.AdapterNotResident:
		return true
	}
	return false
}

// notRun returns err with the statement that the request was not run. Internal
// errors and unreachable owners become errs.NoTarget.
func notRun(err error) error {
	coded := errs.As(err)
	if coded.Code == errs.Internal || coded.Code == errs.PeerUnavailable {
		return errs.Wrap(err, errs.NoTarget, "no group owner answered").WithRan(errs.RanNo)
	}
	return coded.WithRan(errs.RanNo)
}

// rendezvousTiebreak returns a function that scores groups for an adapter version
// by rendezvous hashing.
func rendezvousTiebreak(adapter model.AdapterVersion) func(string) uint64 {
	name := adapter.String()
	return func(group string) uint64 { return xxhash.Sum64String(name + "|" + group) }
}

// acquireInGroup makes one attempt at the owner of one group. Each attempt has its
// own request id, so an abandoned attempt cannot be confused with a later one.
func (b *Broker) acquireInGroup(ctx context.Context, group string, request core.Request) (core.Permit, error) {
	owner, epoch, ok := b.table.Owner(group)
	if !ok {
		return core.Permit{}, errs.NotRun(errs.NoTarget, "group "+group+" has no known owner")
	}
	request.ID += model.RequestID("." + strconv.FormatUint(b.attemptCount.Add(1), 36))
	reply, err := b.callOwner(ctx, owner.VM, epoch, rpcapi.AcquireRequest{Group: group, Request: request})
	if err != nil {
		b.returns.add(pendingReturn{group: group, epoch: epoch, cancelID: request.ID})
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

// callOwner waits for the owner's reply to an Acquire call. It stops waiting when
// the group is taken over, since a paused former owner would keep the request
// waiting until its deadline, or when the adapter has become resident in a better
// group.
func (b *Broker) callOwner(ctx context.Context, owner string, epoch model.Epoch, request rpcapi.AcquireRequest) (rpcapi.AcquireReply, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go b.watchWait(callCtx, cancel, epoch, request)
	reply, err := b.owners.Acquire(callCtx, owner, request)
	if cause := context.Cause(callCtx); cause != nil && ctx.Err() == nil {
		return reply, cause
	}
	return reply, err
}

// rerouteCheckInterval is the interval between checks whether a waiting request
// should move to another group.
const rerouteCheckInterval = 300 * time.Millisecond

// watchWait cancels a waiting Acquire call when its group is taken over or the
// adapter has become resident in a better group.
func (b *Broker) watchWait(ctx context.Context, cancel context.CancelCauseFunc, epoch model.Epoch, request rpcapi.AcquireRequest) {
	raised := b.holdings.EpochRaised(request.Group, epoch)
	ticker := time.NewTicker(rerouteCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-raised:
			cancel(errs.NotRun(errs.StaleEpoch, "group "+request.Group+" was taken over while the request was waiting"))
			return
		case <-ticker.C:
			if b.betterGroupHasAdapter(request.Request, request.Group) {
				cancel(errs.NotRun(errs.AdapterNotResident, "the adapter is resident in a better group"))
				return
			}
		}
	}
}

// Release ends the use of a permit. It notifies the group's owner in the background
// and repeats this until the owner acknowledges it.
func (b *Broker) Release(permit core.Permit, release core.PermitReleased) {
	release.ID = permit.Request
	release.Target = permit.Target.Name
	release.Organisation, release.Kind = permit.Organisation, permit.Kind
	release.Holder = model.Holder{VM: b.self.Name, Incarnation: b.self.Incarnation}
	b.returns.add(pendingReturn{group: permit.Group, epoch: permit.Epoch, release: &release})
	b.holdings.Remove(permit.Request)
}
