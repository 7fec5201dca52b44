package replay

import (
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// job is one attempt of a request on a target.
type job struct {
	attempt    *attempt
	startedAt  time.Duration
	firstAt    time.Duration // first token, 0 before
	lastAt     time.Duration // last token, 0 before
	promptLeft int
	outputLeft int
}

// target is one back end. A model runner works in steps: each step decodes one
// token of every sequence whose prompt is done and processes at most
// PromptChunk prompt tokens of the others, the more urgent priority first. The
// step takes as long as EngineRule says, times the factor of a slow spell. A
// plain service answers each call after ServiceTime. A runner serves Concurrency
// sequences at once; further ones wait by priority.
type target struct {
	w           *world
	info        model.Target
	region      string
	instance    int
	restartedAt time.Duration
	arriving    int // loads under way
	resident    map[model.AdapterVersion]bool
	running     []*job
	waiting     []*job
	stepping    bool
	cache       prefixCache
	factor      float64
	slowUntil   time.Duration
	lag         time.Duration
	failLoads   int
	steps       stepCounts
}

// stepCounts are the sums over steps in the measured time.
type stepCounts struct {
	tokens, possible int
	busy             time.Duration
}

func (t *target) slowness() float64 {
	if t.w.now < t.slowUntil {
		return t.factor
	}
	return 1
}

// start takes a request that arrived at the target.
func (t *target) start(a *attempt) {
	j := &job{attempt: a, startedAt: -1}
	a.job = j
	if t.info.Class == model.ClassService {
		t.call(j)
		return
	}
	at := len(t.waiting)
	for at > 0 && t.waiting[at-1].attempt.permit.Priority > a.permit.Priority {
		at--
	}
	t.waiting = append(t.waiting[:at], append([]*job{j}, t.waiting[at:]...)...)
	t.step()
}

// call serves a request of a plain service.
func (t *target) call(j *job) {
	j.startedAt = t.w.now
	t.running = append(t.running, j)
	instance := t.instance
	took := time.Duration(float64(t.w.deployment.ServiceTime) * t.slowness())
	t.w.after(took, func() {
		if t.instance == instance && t.has(j) {
			t.w.given(j.attempt.request.arrival.Organisation, t.w.deployment.ServiceTime, false)
			t.remove(j)
			t.w.completed(j, t)
		}
	})
}

func (t *target) has(j *job) bool {
	for _, r := range t.running {
		if r == j {
			return true
		}
	}
	return false
}

func (t *target) remove(j *job) {
	t.running = without(t.running, j)
	t.waiting = without(t.waiting, j)
}

func without(jobs []*job, j *job) []*job {
	for i, r := range jobs {
		if r == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// admit moves waiting requests into the batch.
func (t *target) admit() {
	for len(t.waiting) > 0 && len(t.running) < t.info.Concurrency {
		j := t.waiting[0]
		t.waiting = t.waiting[1:]
		arrival := j.attempt.request.arrival
		cached := t.cache.use(arrival.Prefix, t.w.deployment.Engine.PrefixBlocks) * t.w.deployment.Engine.BlockTokens
		j.startedAt = t.w.now
		j.promptLeft = max(1, arrival.PromptTokens-cached)
		j.outputLeft = arrival.OutputTokens
		t.running = append(t.running, j)
	}
}

// plan is the work of one step.
type plan struct {
	decode  []*job
	prompts []*job
	tokens  []int // of each prompt
}

func (t *target) plan() (p plan, took time.Duration) {
	rule := t.w.deployment.Engine
	left := rule.PromptChunk
	for _, j := range t.running {
		if j.promptLeft == 0 {
			p.decode = append(p.decode, j)
		}
	}
	for urgency := 0; urgency <= 1; urgency++ {
		for _, j := range t.running {
			late := min(1, j.attempt.permit.Priority)
			if j.promptLeft > 0 && left > 0 && late == urgency {
				n := min(left, j.promptLeft)
				left -= n
				p.prompts, p.tokens = append(p.prompts, j), append(p.tokens, n)
			}
		}
	}
	took = rule.Base + time.Duration(len(p.decode))*rule.PerSequence +
		time.Duration(rule.PromptChunk-left)*rule.PerPrompt
	return p, time.Duration(float64(took) * t.slowness())
}

// step starts the next step if there is work and none is under way.
func (t *target) step() {
	if t.stepping {
		return
	}
	t.admit()
	if len(t.running) == 0 {
		return
	}
	t.stepping = true
	p, took := t.plan()
	instance := t.instance
	t.w.after(took, func() {
		if t.instance != instance {
			return
		}
		t.stepping = false
		t.finish(p, took)
		t.step()
	})
}

func (t *target) finish(p plan, took time.Duration) {
	rule := t.w.deployment.Engine
	if t.w.measured() {
		t.steps.tokens += len(p.decode)
		t.steps.possible += t.info.Concurrency
		t.steps.busy += took
	}
	for i, j := range p.prompts {
		j.promptLeft -= p.tokens[i]
		t.w.given(j.attempt.request.arrival.Organisation, time.Duration(p.tokens[i])*rule.PerPrompt, true)
	}
	for _, j := range p.decode {
		if !t.has(j) {
			continue // cancelled during the step
		}
		j.outputLeft--
		j.lastAt = t.w.now
		if j.firstAt == 0 {
			j.firstAt = t.w.now
		}
		t.w.given(j.attempt.request.arrival.Organisation, tokenWork(rule, t.info.Concurrency), true)
		if j.outputLeft == 0 {
			t.remove(j)
			t.w.completed(j, t)
		}
	}
}

// tokenWork is the least time of an engine that one generated token costs: its
// own time and its part of the step's base time in a full batch.
func tokenWork(rule EngineRule, concurrency int) time.Duration {
	return rule.PerSequence + rule.Base/time.Duration(concurrency)
}

// restart empties the target. What it ran fails.
func (t *target) restart() {
	t.instance++
	t.restartedAt = t.w.now
	t.stepping = false
	t.arriving = 0
	clear(t.resident)
	t.cache = prefixCache{}
	lost := append(append([]*job(nil), t.running...), t.waiting...)
	t.running, t.waiting = nil, nil
	for _, j := range lost {
		t.w.failed(j.attempt, t, core.OutcomeFailed)
	}
}

// prefixCache holds the most recently used prefix blocks.
type prefixCache struct {
	order []uint64 // least recently used first
}

// use returns the number of leading blocks that are cached and enters all.
func (c *prefixCache) use(blocks []uint64, capacity int) int {
	hits, broken := 0, false
	for _, block := range blocks {
		at := c.find(block)
		if at < 0 {
			broken = true
		} else {
			c.order = append(c.order[:at], c.order[at+1:]...)
		}
		if !broken {
			hits++
		}
		c.order = append(c.order, block)
	}
	if len(c.order) > capacity {
		c.order = append([]uint64(nil), c.order[len(c.order)-capacity:]...)
	}
	return hits
}

func (c *prefixCache) find(block uint64) int {
	for i := len(c.order) - 1; i >= 0; i-- {
		if c.order[i] == block {
			return i
		}
	}
	return -1
}
