package frontend

import (
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/target"
)

// gapWeight is the weight of the newest token in the mean gap.
const gapWeight = 0.2

// watch observes the cadence of one attempt and reports it to the owner of its
// permit, so that stragglers are found before the target's own report shows
// them.
type watch struct {
	mu     sync.Mutex
	began  time.Time
	last   time.Time
	report core.Progress
	end    chan struct{}
}

// watchAttempt starts to report, if the permits' owner takes reports.
func (s *Server) watchAttempt(permit core.Permit) *watch {
	now := time.Now()
	w := &watch{began: now, last: now, end: make(chan struct{})}
	w.report = core.Progress{ID: permit.Request, Target: permit.Target.Name}
	if to, ok := s.opt.Permits.(ProgressReporter); ok {
		s.spawn(func() { w.run(to, permit, s.limits.ProgressPeriod) })
	}
	return w
}

func (w *watch) run(to ProgressReporter, permit core.Permit, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-w.end:
			return
		case now := <-ticker.C:
			to.Report(permit, w.progress(now))
		}
	}
}

func (w *watch) progress(now time.Time) core.Progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.report
	p.SilentFor = max(0, now.Sub(w.last))
	return p
}

// note enters a chunk.
func (w *watch) note(c target.Chunk) {
	if c.Tokens == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	gap := now.Sub(w.last)
	switch {
	case w.report.Tokens == 0:
		w.report.FirstToken = now.Sub(w.began)
	case w.report.TokenGap == 0:
		w.report.TokenGap = gap
	default:
		w.report.TokenGap += time.Duration(gapWeight * float64(gap-w.report.TokenGap))
	}
	w.report.Tokens += c.Tokens
	w.last = now
}

func (w *watch) stop() { close(w.end) }
