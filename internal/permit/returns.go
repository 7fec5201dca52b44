package permit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// pendingReturn is the release of a permit or the cancellation of a waiting
// Acquire call that an owner has yet to acknowledge.
type pendingReturn struct {
	group    string
	epoch    model.Epoch
	cancelID model.RequestID      // request id of a waiting Acquire call whose result is unknown
	release  *core.PermitReleased // release of a used permit, nil for a cancellation
}

// returnQueue sends releases and cancellations to the group owners and repeats each
// until an owner acknowledges it.
type returnQueue struct {
	table    *RoutingTable
	holdings *Holdings
	owners   OwnerClient

	unacknowledged atomic.Int64

	mu      sync.Mutex
	pending []pendingReturn
	wake    chan struct{}
}

const (
	// ownerCallTimeout bounds one release, cancellation or progress call.
	ownerCallTimeout = 2 * time.Second
	// returnRetryDelay is the delay before a failed call is repeated.
	returnRetryDelay = 100 * time.Millisecond
	// maxReturnCalls limits the calls in flight. It is large enough that one owner
	// that does not reply does not delay the returns to other owners.
	maxReturnCalls = 64
)

func newReturnQueue(table *RoutingTable, holdings *Holdings, owners OwnerClient) *returnQueue {
	return &returnQueue{
		table: table, holdings: holdings, owners: owners,
		wake: make(chan struct{}, 1),
	}
}

// add queues a new item, which counts as unacknowledged until an owner
// acknowledges it.
func (q *returnQueue) add(item pendingReturn) {
	q.unacknowledged.Add(1)
	q.enqueue(item)
}

// enqueue queues an item, new or to be repeated, and wakes up run.
func (q *returnQueue) enqueue(item pendingReturn) {
	q.mu.Lock()
	q.pending = append(q.pending, item)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// len returns the number of items that no owner has acknowledged.
func (q *returnQueue) len() int { return int(q.unacknowledged.Load()) }

// run sends queued items until ctx ends. Items whose call fails are queued again
// after returnRetryDelay.
func (q *returnQueue) run(ctx context.Context) {
	slots := make(chan struct{}, maxReturnCalls)
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for _, item := range q.takePending() {
			select {
			case <-ctx.Done():
				return
			case slots <- struct{}{}:
			}
			go func(item pendingReturn) {
				defer func() { <-slots }()
				q.send(ctx, item)
			}(item)
		}
	}
}

// takePending removes and returns the queued items.
func (q *returnQueue) takePending() []pendingReturn {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.pending
	q.pending = nil
	return items
}

// send delivers an item to the current owner of the group. A cancellation from an
// epoch before the confirmed one needs no call: its owner has been replaced, and
// the confirmation did not list the permit as held.
func (q *returnQueue) send(ctx context.Context, item pendingReturn) {
	superseded := item.release == nil && q.holdings.MinimumEpoch(item.group) > item.epoch
	if superseded || q.deliver(ctx, item) {
		q.unacknowledged.Add(-1)
		return
	}
	time.AfterFunc(returnRetryDelay, func() { q.enqueue(item) })
}

// deliver makes one call to the current owner of the group and reports whether the
// owner acknowledged it.
func (q *returnQueue) deliver(ctx context.Context, item pendingReturn) bool {
	owner, epoch, ok := q.table.Owner(item.group)
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	if item.release == nil {
		reply, err := q.owners.Cancel(callCtx, owner.VM, rpcapi.CancelRequest{Group: item.group, ID: item.cancelID})
		return acknowledged(reply.Err, err)
	}
	request := rpcapi.ReleaseRequest{Group: item.group, Epoch: epoch, Release: *item.release}
	reply, err := q.owners.Release(callCtx, owner.VM, request)
	return acknowledged(reply.Err, err)
}

// acknowledged reports whether an owner has processed a release or cancellation. A
// request that the owner does not know counts as processed.
func acknowledged(refusal *errs.Error, err error) bool {
	return err == nil && (refusal == nil || refusal.Code == errs.NotFound)
}
