package frontend

import (
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/target"
)

// tokenGapSmoothing is the weight of the newest gap in the moving average.
const tokenGapSmoothing = 0.2

// progressMonitor measures the token rate of one attempt and reports it to the owner
// of the permit, so that stragglers are detected before the target's own report
// shows them.
type progressMonitor struct {
	mu          sync.Mutex
	startedAt   time.Time     // start of the attempt
	lastTokenAt time.Time     // arrival of the newest token, or startedAt if there is none
	current     core.Progress // without SilentFor
	done        chan struct{} // closed by stop
}

// startProgressMonitor returns a monitor for an attempt. The monitor sends reports
// until it is stopped, provided that Options.Permits is a ProgressReporter.
func (s *Server) startProgressMonitor(permit core.Permit) *progressMonitor {
	now := time.Now()
	m := &progressMonitor{startedAt: now, lastTokenAt: now, done: make(chan struct{})}
	m.current = core.Progress{ID: permit.Request, Target: permit.Target.Name}
	if reporter, ok := s.opt.Permits.(ProgressReporter); ok {
		s.runInBackground(func() { m.run(reporter, permit, s.limits.ProgressInterval) })
	}
	return m
}

func (m *progressMonitor) run(reporter ProgressReporter, permit core.Permit, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-m.done:
			return
		case now := <-ticker.C:
			reporter.Report(permit, m.snapshot(now))
		}
	}
}

// snapshot returns the progress at the given time.
func (m *progressMonitor) snapshot(now time.Time) core.Progress {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.current
	p.SilentFor = max(0, now.Sub(m.lastTokenAt))
	return p
}

// recordChunk updates the progress with a chunk. A chunk without tokens is ignored.
func (m *progressMonitor) recordChunk(chunk target.Chunk) {
	if chunk.Tokens == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	gap := now.Sub(m.lastTokenAt)
	switch {
	case m.current.Tokens == 0:
		m.current.FirstToken = now.Sub(m.startedAt)
	case m.current.TokenGap == 0:
		m.current.TokenGap = gap
	default:
		m.current.TokenGap += time.Duration(tokenGapSmoothing * float64(gap-m.current.TokenGap))
	}
	m.current.Tokens += chunk.Tokens
	m.lastTokenAt = now
}

func (m *progressMonitor) stop() { close(m.done) }
