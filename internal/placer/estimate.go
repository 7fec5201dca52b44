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

// observeLoad learns from a load that was found to have ended. One that had ended when
// its target was asked first took less than it seems.
func (m *engineModel) observeLoad(cold bool, took time.Duration, first bool) {
	value := &m.warm
	if cold {
		value = &m.cold
	}
	if first {
		*value = min(*value, firstPollPart*took.Seconds())
		return
	}
	average(value, took.Seconds(), observedWeight)
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
	t.usual = max(fastestSpeed, min(slowestSpeed, t.usual*(1+usualWeight*(ratio-1))))
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

const (
	// noiseHalfLife is the time in which a slowness that a target has told counts
	// half. Other work on a target's machine comes and goes within a second.
	noiseHalfLife = 350 * time.Millisecond
	// busyHalfLife is the same for the time that a target spends on prompts.
	busyHalfLife = 1500 * time.Millisecond
	// fastestSpeed bounds the speed that early observations can show.
	fastestSpeed = 0.7
)

// speed is the factor by which a target takes longer than the others.
func (t *targetRow) speed(now Time) float64 {
	return t.usual * (1 + t.noise*math.Exp2(-float64(now-t.noiseAt)/float64(noiseHalfLife)))
}

// setNoise enters the slowness that a target has told, 1 if it is as usual.
func (t *targetRow) setNoise(now Time, slowness float64) {
	t.noise, t.noiseAt = max(0, min(slowestSpeed, slowness)-1), now
}

// reading returns the recent part of the time that a target spent on prompts.
func (t *targetRow) reading(now Time) float64 {
	return t.busy * math.Exp2(-float64(now-t.busyAt)/float64(busyHalfLife))
}

// addReading enters that a target will spend time on a prompt.
func (t *targetRow) addReading(now Time, cost time.Duration) {
	t.busy = t.reading(now) + cost.Seconds()/busyHalfLife.Seconds()*math.Ln2
	t.busyAt = now
}
