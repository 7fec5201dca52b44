package edge

import (
	"context"
	"time"

	"cicadaslip/internal/membudget"
	"cicadaslip/internal/metrics"
)

// memoryLogInterval is the least time between two log lines about the memory for callers and
// targets.
const memoryLogInterval = time.Second

// memoryEvents counts what has happened for lack of memory or of connections since the start.
type memoryEvents struct {
	waited, refused, cut, connectionsRefused int64
}

func (d *Daemon) memoryEvents(s membudget.State) memoryEvents {
	e := memoryEvents{waited: s.Waited, connectionsRefused: d.gateway.Connections().Refused}
	for _, n := range s.Refused {
		e.refused += n
	}
	for _, n := range s.Cut {
		e.cut += n
	}
	return e
}

// logMemory logs at most one line per interval in which memory or connections were short.
func (d *Daemon) logMemory(ctx context.Context) {
	ticker := time.NewTicker(memoryLogInterval)
	defer ticker.Stop()
	var before memoryEvents
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s := d.memory.State()
		now := d.memoryEvents(s)
		if now == before {
			continue
		}
		d.log.Warn().Str(fieldEvent, "memory_short").Int64(fieldHeld, s.Used).Int64(fieldLimit, s.Limits.Total).
			Int64(fieldConnections, s.Connections).Int64(fieldReservations, now.waited-before.waited).
			Int64(fieldRefused, now.refused-before.refused).Int64(fieldCut, now.cut-before.cut).
			Int64(fieldConnectionsRefused, now.connectionsRefused-before.connectionsRefused).Send()
		before = now
	}
}

// updateMemoryGauges sets the metrics of the memory and the connections.
func (d *Daemon) updateMemoryGauges() {
	connections := d.gateway.Connections()
	for label, n := range map[string]int64{
		"callers": connections.Open, "callers_limit": connections.Limit, "refused": connections.Refused,
		"targets": d.upstream.OpenNow(), "targets_limit": d.upstream.MaxOpen,
	} {
		d.metrics.SetLabel(metrics.EdgeConnections, label, n)
	}
	if d.keptNow != nil {
		d.metrics.SetLabel(metrics.EdgeConnections, "kept", d.keptNow())
		d.metrics.SetLabel(metrics.EdgeConnections, "kept_limit", d.maxKept)
	}
	s := d.memory.State()
	for label, n := range map[string]int64{"held": s.Used, "limit": s.Limits.Total, "waiting": s.Waiting} {
		d.metrics.SetLabel(metrics.EdgeMemory, label, n)
	}
	for reason, n := range s.Refused {
		d.metrics.SetLabel(metrics.EdgeMemoryRefused, string(reason), n)
	}
	for peer, n := range s.Cut {
		d.metrics.SetLabel(metrics.EdgeMemoryCut, string(peer), n)
	}
}
