package placer

import (
	"math"
	"time"
)

// latencyModel estimates the latencies of the group's engines from observations.
type latencyModel struct {
	prefillPerToken    float64 // seconds per prompt token
	coldLoad, warmLoad float64 // seconds per adapter load
}

func newLatencyModel() latencyModel {
	return latencyModel{
		prefillPerToken: initialPrefillPerToken.Seconds(), coldLoad: initialColdLoad.Seconds(), warmLoad: initialWarmLoad.Seconds(),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func updateAverage(average *float64, observed, weight float64) {
	*average += weight * (observed - *average)
}

// prefill returns the prefill time of a number of prompt tokens on a target of
// average speed.
func (m *latencyModel) prefill(tokens int) time.Duration {
	return seconds(m.prefillPerToken * float64(tokens))
}

// observeLoad updates the estimate with the time after which a load was found to
// have ended. If the first poll found it ended, it took less than that time.
func (m *latencyModel) observeLoad(cold bool, elapsed time.Duration, firstPoll bool) {
	average := &m.warmLoad
	if cold {
		average = &m.coldLoad
	}
	if firstPoll {
		*average = min(*average, firstPollFraction*elapsed.Seconds())
		return
	}
	updateAverage(average, elapsed.Seconds(), observationWeight)
}

// loadTime returns the expected time to load an adapter, from the weights store if
// cold is set, and else from the target's own memory.
func (m *latencyModel) loadTime(cold bool) time.Duration {
	if cold {
		return seconds(m.coldLoad)
	}
	return seconds(m.warmLoad)
}

// prefillTime returns the expected time that a target spends on the prefill of a
// request.
func (c *Core) prefillTime(t *targetState, r *Request) time.Duration {
	tokens := max(0, r.PromptTokens-t.prefixes.cachedTokens(r.Adapter, r.Parts))
	return time.Duration(float64(c.latencies.prefill(tokens)) * t.slowness(c.now))
}

// firstEventTime returns the expected time from the end of the prefill to the first
// event.
func (c *Core) firstEventTime(t *targetState) time.Duration {
	return time.Duration(float64(decodeTokenTime) * float64(max(1, c.params.Engine.EventTokens)) * t.slowness(c.now))
}

// observeFirstEvent updates the estimates with the time between a grant and its
// first event.
func (c *Core) observeFirstEvent(t *targetState, run *activeRun, elapsed time.Duration) {
	expected := run.expectedFirstEvent
	if expected <= 0 || elapsed <= 0 {
		return
	}
	ratio := min(maxSlowness, max(1/maxSlowness, elapsed.Seconds()/expected.Seconds()))
	t.averageSlowness = max(minSlowness, min(maxSlowness, t.averageSlowness*(1+slownessWeight*(ratio-1))))
	if run.onlyPrefill && run.uncachedTokens > minObservedTokens {
		prefill := (elapsed - c.firstEventTime(t)).Seconds()
		if prefill > 0 {
			observed := prefill / float64(run.uncachedTokens)
			updateAverage(&c.latencies.prefillPerToken, min(observed, 3*c.latencies.prefillPerToken), observationWeight/3)
		}
	}
}

// minObservedTokens is the number of uncached prompt tokens that a request must
// exceed for the prefill time per token to be updated from it.
const minObservedTokens = 1500

const (
	// slownessHalfLife is the time in which the weight of a reported slowness halves.
	// Other work on a target's machine comes and goes within a second.
	slownessHalfLife = 350 * time.Millisecond
	// prefillShareHalfLife is the time in which the weight of past prefill in a
	// target's prefill share halves.
	prefillShareHalfLife = 1500 * time.Millisecond
	// minSlowness limits the speed that early observations can indicate.
	minSlowness = 0.7
)

// slowness returns the factor by which a target is slower than an average one.
func (t *targetState) slowness(now Time) float64 {
	return t.averageSlowness * (1 + t.extraSlowness*math.Exp2(-float64(now-t.extraSlownessAt)/float64(slownessHalfLife)))
}

// setReportedSlowness records the slowness that a target has reported, where 1 is
// its usual speed.
func (t *targetState) setReportedSlowness(now Time, slowness float64) {
	t.extraSlowness, t.extraSlownessAt = max(0, min(maxSlowness, slowness)-1), now
}

// recentPrefillShare returns the share of recent time that a target spent on
// prefill.
func (t *targetState) recentPrefillShare(now Time) float64 {
	return t.prefillShare * math.Exp2(-float64(now-t.prefillShareAt)/float64(prefillShareHalfLife))
}

// addPrefill records that a target will spend time on the prefill of a prompt.
func (t *targetState) addPrefill(now Time, prefillTime time.Duration) {
	t.prefillShare = t.recentPrefillShare(now) + prefillTime.Seconds()/prefillShareHalfLife.Seconds()*math.Ln2
	t.prefillShareAt = now
}
