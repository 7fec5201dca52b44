package permit

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// progressInterval is the time for which reports are collected, so that the number
// of calls depends on the number of owners and not of requests. With 100 ms, the
// reports of fully loaded runners alone exceeded the 27 KB/s that a node may use
// for control traffic.
const progressInterval = 250 * time.Millisecond

// progressQueue keeps the latest report of each running request until the next
// call to the group's owner.
type progressQueue struct {
	table  *RoutingTable
	owners OwnerClient

	mu      sync.Mutex
	pending map[string]map[model.RequestID]core.Progress // by group
}

func newProgressQueue(table *RoutingTable, owners OwnerClient) *progressQueue {
	return &progressQueue{table: table, owners: owners, pending: map[string]map[model.RequestID]core.Progress{}}
}

// add replaces the pending report of a request.
func (q *progressQueue) add(group string, progress core.Progress) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[group] == nil {
		q.pending[group] = map[model.RequestID]core.Progress{}
	}
	q.pending[group][progress.ID] = progress
}

// takePending removes and returns the pending reports by group.
func (q *progressQueue) takePending() map[string]map[model.RequestID]core.Progress {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending
	q.pending = map[string]map[model.RequestID]core.Progress{}
	return pending
}

// run sends the pending reports at progressInterval until ctx ends.
func (q *progressQueue) run(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for group, reports := range q.takePending() {
			go q.send(ctx, group, reports)
		}
	}
}

// send sends reports to the owner of a group. Errors are ignored, because reports
// are hints and the next report replaces a lost one.
func (q *progressQueue) send(ctx context.Context, group string, reports map[model.RequestID]core.Progress) {
	owner, _, ok := q.table.Owner(group)
	if !ok {
		return
	}
	request := rpcapi.ProgressRequest{Group: group, Reports: make([]core.Progress, 0, len(reports))}
	for _, report := range reports {
		request.Reports = append(request.Reports, report)
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	_, _ = q.owners.Progress(callCtx, owner.VM, request)
}
