package callerconn

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cicadaslip/internal/membudget"
)

const (
	// reliefInterval is the time between two looks for slow callers while the connections are crowded.
	reliefInterval = 100 * time.Millisecond
	// freeShare is the part of the connections that slow callers do not take: one in so many.
	freeShare = 8
)

// Relieve cuts off slow callers while the connections are crowded: those that send a request or read an
// answer, and have lagged for membudget.CutAge, in the order of their lag. Idle connections are closed for others
// when these arrive, so they do not count. It returns when ctx ends.
func (l *Listener) Relieve(ctx context.Context) {
	ticker := time.NewTicker(reliefInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if limit := l.limit(); l.openConns.Load() > limit-limit/freeShare {
				l.cutSlowest(now, limit-limit/freeShare)
			}
		}
	}
}

// limit returns how many connections may be open by Limit and by Memory.
func (l *Listener) limit() int64 {
	if most := l.Memory.MaxConnections(); most > 0 {
		return min(l.Limit, most)
	}
	return l.Limit
}

// cutSlowest cuts off slow callers until as many connections are busy as allowed, if there are
// enough of them.
func (l *Listener) cutSlowest(now time.Time, allowed int64) {
	type slowCaller struct {
		conn *Conn
		peer membudget.Peer
		lag  time.Duration
	}
	var slow []slowCaller
	busy := int64(0)
	l.mu.Lock()
	for c := range l.conns {
		if c.unread.Load() || c.cut.Load() {
			continue
		}
		busy++
		if peer, lag := c.Memory.Lag(now); lag >= membudget.CutAge && peer != membudget.Target {
			slow = append(slow, slowCaller{c, peer, lag})
		}
	}
	l.mu.Unlock()
	slices.SortFunc(slow, func(a, b slowCaller) int { return cmp.Compare(b.lag, a.lag) })
	for _, s := range slow[:max(0, min(int(busy-allowed), len(slow)))] {
		// One that has caught up meanwhile is left alone.
		if peer, lag := s.conn.Memory.Lag(time.Now()); peer == s.peer && lag >= membudget.CutAge {
			s.conn.Memory.CutOff(peer)
		}
	}
}
