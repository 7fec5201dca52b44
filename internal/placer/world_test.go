package placer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/fleet"
	"cicadaslip/internal/placer"
)

const (
	slots     = 3
	modelName = "base"
)

// engine is a target that carries orders out as the platform's do: under the
// precondition of its count of accepted orders, and so that it fails when it is
// ordered to hold more than it has room for.
type engine struct {
	id       string
	born     int64
	sequence int64
	held     map[placer.Adapter]time.Duration // until ready
	versions map[placer.Adapter]int64
	runs     map[placer.Adapter]int
	overfull bool
}

func newEngine(id string, born int64) *engine {
	return &engine{
		id: id, born: born, held: map[placer.Adapter]time.Duration{}, versions: map[placer.Adapter]int64{},
		runs: map[placer.Adapter]int{},
	}
}

func (e *engine) target(leaving bool) fleet.Target {
	return fleet.Target{
		ID: e.id, Address: e.id, DataCentre: "riga-a", Slots: 8, Born: e.born, Leaving: leaving,
		Models: []fleet.ResidentModel{{Name: modelName, Version: 1}},
	}
}

func (e *engine) order(now, load time.Duration, o placer.Order, newest int64) placer.Result {
	ready, held := e.held[o.Adapter]
	version := max(o.Version, newest)
	if o.Operation == placer.Load && held && e.versions[o.Adapter] >= version {
		if ready > now {
			return placer.Accepted
		}
		return placer.Holds
	}
	if o.Precondition != e.sequence {
		return placer.Conflicts
	}
	if o.Operation == placer.Unload {
		if !held {
			return placer.Holds
		}
		e.sequence++
		if e.runs[o.Adapter] > 0 {
			return placer.Accepted // not modelled further: the rows below see it as held
		}
		delete(e.held, o.Adapter)
		return placer.Holds
	}
	e.sequence++
	e.held[o.Adapter], e.versions[o.Adapter] = now+load, version
	e.overfull = e.overfull || len(e.held) > slots
	return placer.Accepted
}

func (e *engine) report(now time.Duration) *placer.Report {
	r := &placer.Report{Born: e.born, Sequence: e.sequence, Models: map[string]int64{modelName: 1}, Ready: map[placer.Adapter]int64{}}
	for a, ready := range e.held {
		if ready > now {
			r.Coming = append(r.Coming, a)
		} else {
			r.Ready[a] = e.versions[a]
		}
	}
	return r
}

// event is something that happens later.
type event struct {
	at time.Duration
	do func()
}

// world drives a core in virtual time against engines.
type world struct {
	core     *placer.Core
	now      time.Duration
	engines  map[string]*engine
	leaving  map[string]bool
	later    []event
	rng      *rand.Rand
	lose     float64 // share of orders without an answer, half of them carried out late
	granted  map[string]placer.Grant
	refused  map[string]placer.RefuseRequest
	running  map[string]placer.Grant
	newest   map[placer.Adapter]int64
	loads    int
	faults   []string
	requests int
	rest     time.Duration            // from the first event of a granted request to its end
	reading  map[string]time.Duration // until which the engines read prompts
	tokens   map[string]int
	waited   map[string]time.Duration // until a request was granted
	load     time.Duration            // of an adapter
	trip     time.Duration            // of an order to its target, or of the answer
	trace    bool
}

func newWorld(seed uint64, engines int, params placer.Params) *world {
	params.Engine.AdapterSlots = slots
	params.Engine.Models = []placer.Model{{Name: modelName}}
	params.Fresh = true
	if params.Transit == 0 {
		params.Transit = 8
	}
	w := &world{
		core: placer.New(params), now: time.Second, engines: map[string]*engine{}, leaving: map[string]bool{},
		rng: rand.New(rand.NewPCG(seed, seed)), granted: map[string]placer.Grant{}, refused: map[string]placer.RefuseRequest{},
		running: map[string]placer.Grant{}, newest: map[placer.Adapter]int64{},
		rest: 100 * time.Millisecond, reading: map[string]time.Duration{}, tokens: map[string]int{}, waited: map[string]time.Duration{}, load: loadTime, trip: time.Millisecond,
	}
	for i := range engines {
		id := fmt.Sprintf("t%d", i)
		w.engines[id] = newEngine(id, 1)
	}
	w.tell()
	return w
}

// tell tells the core the present targets.
func (w *world) tell() {
	var targets []fleet.Target
	for id, e := range w.engines {
		targets = append(targets, e.target(w.leaving[id]))
	}
	w.core.SetTargets(w.now, targets)
	w.tick()
}

func (w *world) after(d time.Duration, do func()) {
	w.later = append(w.later, event{w.now + d, do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 2 * time.Millisecond
		var due []event
		rest := w.later[:0]
		for _, e := range w.later {
			if e.at <= w.now {
				due = append(due, e)
			} else {
				rest = append(rest, e)
			}
		}
		w.later = rest
		for _, e := range due {
			e.do()
		}
		w.tick()
	}
}

func (w *world) tick() {
	for _, command := range w.core.Tick(w.now) {
		switch c := command.(type) {
		case placer.GrantRequest:
			w.grant(c)
		case placer.RefuseRequest:
			w.once(c.ID)
			w.refused[c.ID] = c
		case placer.SendOrder:
			w.send(c.Order)
		case placer.AskReport:
			w.ask(c.Target)
		}
	}
}

func (w *world) once(id string) {
	if _, granted := w.granted[id]; granted {
		w.faults = append(w.faults, id+" was answered twice")
	}
	if _, refused := w.refused[id]; refused {
		w.faults = append(w.faults, id+" was answered twice")
	}
}

func (w *world) grant(c placer.GrantRequest) {
	id := c.Grant.Request
	w.once(id)
	w.granted[id], w.waited[id] = c.Grant, c.Waited
	if w.leaving[c.Grant.Target] {
		w.faults = append(w.faults, id+" was sent to a leaving target")
	}
	if w.rest == 0 {
		return
	}
	// Prompts are read one after another.
	t := c.Grant.Target
	w.reading[t] = max(w.now, w.reading[t]) + time.Duration(w.tokens[id])*promptTime
	first := w.reading[t] + 20*time.Millisecond - w.now
	w.after(first, func() { w.core.Started(w.now, id, 1) })
	w.after(first+w.rest, func() { w.core.Release(w.now, id, placer.Done) })
}

// loadTime is the usual time in which an engine loads an adapter.
const loadTime = 250 * time.Millisecond

// promptTime is the time in which an engine reads one token of a prompt.
const promptTime = 26 * time.Microsecond

func (w *world) send(o placer.Order) {
	if o.Operation == placer.Load {
		w.loads++
	}
	deliver := func(answer bool) {
		e := w.engines[o.Target]
		if e == nil {
			return
		}
		if w.trace {
			fmt.Println(w.now, o.Operation, o.Target, o.Adapter.Name, o.Precondition, "at", e.sequence, answer)
		}
		result := e.order(w.now, w.load, o, w.newest[o.Adapter])
		if answer {
			w.after(w.trip, func() { w.core.Ordered(w.now, o, result) })
		}
	}
	if w.rng.Float64() >= w.lose {
		w.after(w.trip, func() { deliver(true) })
		return
	}
	if w.rng.IntN(2) == 0 {
		w.after(time.Duration(2+w.rng.IntN(10))*time.Second, func() { deliver(false) })
	}
	w.after(200*time.Millisecond, func() { w.core.Ordered(w.now, o, placer.Unanswered) })
}

func (w *world) ask(target string) {
	asked := w.now
	w.after(3*time.Millisecond, func() {
		if e := w.engines[target]; e != nil {
			w.core.Reported(w.now, asked, target, e.report(w.now))
		}
	})
}

func adapter(i int) placer.Adapter {
	return placer.Adapter{Model: modelName, Name: fmt.Sprintf("a%d", i)}
}

// request queues one and returns its name.
func (w *world) request(a placer.Adapter, change func(*placer.Request)) string {
	w.requests++
	r := placer.Request{
		ID: fmt.Sprintf("r%d", w.requests), DataCentre: "riga-a", Adapter: a, PromptTokens: 800, OutputTokens: 40,
		Objective: time.Second, Deadline: 6 * time.Second,
	}
	if change != nil {
		change(&r)
	}
	w.tokens[r.ID] = r.PromptTokens
	w.core.Queue(w.now, r)
	w.tick()
	return r.ID
}

// answered reports whether a request was granted or refused.
func (w *world) answered(id string) bool {
	_, granted := w.granted[id]
	_, refused := w.refused[id]
	return granted || refused
}
