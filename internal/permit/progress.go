package permit

import (
	"context"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// progressPeriod is the time for which reports are collected, so that the
// number of calls follows the owners and not the requests. At 100 ms the reports
// of full runners alone were over the 27 KB/s that a node may spend on control.
const progressPeriod = 250 * time.Millisecond

// progressQueue keeps the last report of each running request until the next
// call to its owner.
type progressQueue struct {
	table  *Table
	owners Owners

	mu      sync.Mutex
	pending map[string]map[model.RequestID]core.Progress // by group
}

func newProgressQueue(table *Table, owners Owners) *progressQueue {
	return &progressQueue{table: table, owners: owners, pending: map[string]map[model.RequestID]core.Progress{}}
}

func (q *progressQueue) add(group string, progress core.Progress) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[group] == nil {
		q.pending[group] = map[model.RequestID]core.Progress{}
	}
	q.pending[group][progress.ID] = progress
}

func (q *progressQueue) take() map[string]map[model.RequestID]core.Progress {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending
	q.pending = map[string]map[model.RequestID]core.Progress{}
	return pending
}

func (q *progressQueue) run(ctx context.Context) {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for group, reports := range q.take() {
			go q.send(ctx, group, reports)
		}
	}
}

func (q *progressQueue) send(ctx context.Context, group string, reports map[model.RequestID]core.Progress) {
	owner, _, ok := q.table.Owner(group)
	if !ok {
		return
	}
	request := rpcapi.ProgressRequest{Group: group, Reports: make([]core.Progress, 0, len(reports))}
	for _, report := range reports {
		request.Reports = append(request.Reports, report)
	}
	callCtx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	_, _ = q.owners.Progress(callCtx, owner.VM, request) // a hint; a lost report is replaced by the next one
}
