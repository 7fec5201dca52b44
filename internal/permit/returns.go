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

// returned is a permit, or a wait for one, that this VM has given up.
type returned struct {
	group   string
	epoch   model.Epoch
	cancel  model.RequestID      // a wait whose result is not known here
	release *core.PermitReleased // a permit whose work has ended
}

// returnQueue tells owners about ended permits until they acknowledge.
type returnQueue struct {
	table    *Table
	holdings *Holdings
	owners   Owners

	outstanding atomic.Int64

	mu      sync.Mutex
	pending []returned
	wake    chan struct{}
}

const (
	returnTimeout = 2 * time.Second
	returnPause   = 100 * time.Millisecond
	// returnWorkers bounds the calls in flight, so that one silent owner does
	// not hold up the returns to others.
	returnWorkers = 64
)

func newReturnQueue(table *Table, holdings *Holdings, owners Owners) *returnQueue {
	return &returnQueue{
		table: table, holdings: holdings, owners: owners,
		wake: make(chan struct{}, 1),
	}
}

// add enters an item that is outstanding until an owner acknowledges it.
func (q *returnQueue) add(item returned) {
	q.outstanding.Add(1)
	q.enqueue(item)
}

func (q *returnQueue) enqueue(item returned) {
	q.mu.Lock()
	q.pending = append(q.pending, item)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// len returns the number of items that no owner has acknowledged.
func (q *returnQueue) len() int { return int(q.outstanding.Load()) }

// run sends what is pending. Items whose call fails are put back and sent again
// after a pause.
func (q *returnQueue) run(ctx context.Context) {
	slots := make(chan struct{}, returnWorkers)
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		for _, item := range q.take() {
			select {
			case <-ctx.Done():
				return
			case slots <- struct{}{}:
			}
			go func(item returned) {
				defer func() { <-slots }()
				q.send(ctx, item)
			}(item)
		}
	}
}

func (q *returnQueue) take() []returned {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.pending
	q.pending = nil
	return all
}

// send tells the group's present owner. A wait that was given up at an epoch
// before the confirmed one needs no message: its owner has been replaced and
// the confirmation did not list it as held.
func (q *returnQueue) send(ctx context.Context, item returned) {
	outdated := item.release == nil && q.holdings.Minimum(item.group) > item.epoch
	if outdated || q.deliver(ctx, item) {
		q.outstanding.Add(-1)
		return
	}
	time.AfterFunc(returnPause, func() { q.enqueue(item) })
}

func (q *returnQueue) deliver(ctx context.Context, item returned) bool {
	owner, epoch, ok := q.table.Owner(item.group)
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	if item.release == nil {
		reply, err := q.owners.Cancel(callCtx, owner.VM, rpcapi.CancelRequest{Group: item.group, ID: item.cancel})
		return acknowledged(reply.Err, err)
	}
	request := rpcapi.ReleaseRequest{Group: item.group, Epoch: epoch, Release: *item.release}
	reply, err := q.owners.Release(callCtx, owner.VM, request)
	return acknowledged(reply.Err, err)
}

func acknowledged(refusal *errs.Error, err error) bool {
	return err == nil && (refusal == nil || refusal.Code == errs.NotFound)
}
