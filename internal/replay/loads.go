package replay

import (
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/loadcoord"
	"cicadaslip/internal/model"
)

// loads is the load coordinator with the weights store's counters. The plain
// baseline asks for all loads with the same worth and a far deadline, which
// makes the coordinator start them in the order of asking.
type loads struct {
	w           *world
	coordinator *loadcoord.Coordinator
	asks        map[loadcoord.Key]*groupSim
	timers      uint64
	inTransit   int
	started     int
	rate        float64
	full        time.Duration // when the store's rate has its whole burst again
}

// baselineDue is later than the end of every trace.
const baselineDue = 48 * time.Hour

func (l *loads) ask(g *groupSim, c core.RequestLoadPermit) {
	ask := loadcoord.LoadRequest{Key: loadcoord.Key{Group: g.info.Name, Adapter: c.Adapter}, Worth: c.Worth, Due: c.Due}
	if l.w.options.Baseline {
		ask.Worth, ask.Due = 1, baselineDue
	}
	l.w.after(l.w.deployment.LocalDelay, func() {
		l.asks[ask.Key] = g
		l.coordinator.Add(l.w.now, ask)
		l.tick()
	})
}

func (l *loads) cancel(g *groupSim, adapter model.AdapterVersion) {
	key := loadcoord.Key{Group: g.info.Name, Adapter: adapter}
	l.w.after(l.w.deployment.LocalDelay, func() { l.coordinator.Remove(key) })
}

// next returns when the weights store starts a load that is ordered now. It
// never starts more than the burst and the rate times the time, so that a
// coordinator cannot exceed its rate by permits that were held back.
func (l *loads) next() time.Duration {
	interval := time.Duration(float64(time.Second) / l.rate)
	l.full = max(l.full, l.w.now)
	start := max(l.w.now, l.full-(loadBurst-1)*interval)
	l.full += interval
	return start
}

func (l *loads) setRate(rate float64) {
	l.rate = rate
	l.coordinator.SetRate(l.w.now, loadcoord.Params{LoadsPerSecond: rate, Burst: loadBurst})
	l.tick()
}

func (l *loads) tick() {
	for _, key := range l.coordinator.Tick(l.w.now) {
		g := l.asks[key]
		l.w.after(l.w.deployment.LocalDelay, func() { g.apply(core.LoadPermitted{Adapter: key.Adapter}) })
	}
	l.timers++
	number := l.timers
	if next, ok := l.coordinator.NextTick(l.w.now); ok {
		l.w.after(max(next-l.w.now, time.Microsecond), func() {
			if l.timers == number {
				l.tick()
			}
		})
	}
}
