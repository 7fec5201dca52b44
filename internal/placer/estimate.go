package placer

import (
	"math"
	"time"
)

// engineModel learns how long the group's engines take.
type engineModel struct {
	promptRate float64 // seconds for one prompt token
	cold, warm float64 // seconds for an adapter
}

func newEngineModel() engineModel {
	return engineModel{
		promptRate: firstPromptRate.Seconds(), cold: firstColdLoad.Seconds(), warm: firstWarmLoad.Seconds(),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func average(value *float64, observed, weight float64) { *value += weight * (observed - *value) }

// reading returns the time to read a number of prompt tokens on a target of
// usual speed.
func (m *engineModel) reading(tokens int) time.Duration {
	return seconds(m.promptRate * float64(tokens))
}

func (m *engineModel) observeLoad(cold bool, took time.Duration) {
	if cold {
		average(&m.cold, took.Seconds(), observedWeight)
	} else {
		average(&m.warm, took.Seconds(), observedWeight)
	}
}

func (m *engineModel) load(cold bool) time.Duration {
	if cold {
		return seconds(m.cold)
	}
	return seconds(m.warm)
}

// cost is the expected time that a target spends on reading a request's prompt.
func (c *Core) cost(t *targetRow, r *Request) time.Duration {
	tokens := max(0, r.PromptTokens-t.prefixes.kept(r.Adapter, r.Parts))
	return time.Duration(float64(c.model.reading(tokens)) * t.speed(c.now))
}

// eventTime is the time from the read prompt to the first event.
func (c *Core) eventTime(t *targetRow) time.Duration {
	return time.Duration(float64(firstStep) * float64(max(1, c.params.Engine.EventTokens)) * t.speed(c.now))
}

// observeFirst learns from the time between a grant and its first event.
func (c *Core) observeFirst(t *targetRow, run *runRow, took time.Duration) {
	expected := run.expected
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := min(slowestSpeed, max(1/slowestSpeed, took.Seconds()/expected.Seconds()))
	t.setSpeed(c.now, t.speed(c.now)*(1+speedWeight*(ratio-1)))
	if run.alone && run.uncached > minObservedTokens {
		net := (took - c.eventTime(t)).Seconds()
		if net > 0 {
			observed := net / float64(run.uncached)
			average(&c.model.promptRate, min(observed, 3*c.model.promptRate), observedWeight/3)
		}
	}
}

// minObservedTokens is the least prompt from which the reading rate is learned.
const minObservedTokens = 1500

// speedHalfLife is the time in which a target's observed slowness counts half.
// Other work on a target's machine comes and goes within a second.
const speedHalfLife = 2 * time.Second

// speed is the factor by which a target takes longer than usual.
func (t *targetRow) speed(now Time) float64 {
	return 1 + t.excess*math.Exp2(-float64(now-t.excessAt)/float64(speedHalfLife))
}

func (t *targetRow) setSpeed(now Time, speed float64) {
	t.excess, t.excessAt = max(fastestSpeed, min(slowestSpeed, speed))-1, now
}

// fastestSpeed bounds the speed that one early observation can show.
const fastestSpeed = 0.6
