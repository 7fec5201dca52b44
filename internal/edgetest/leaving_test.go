package edgetest

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
)

// leavingHeader is the header field in which targets say that they leave.
const leavingHeader = "Server-Leaving"

// drainWatch records what callers see of targets that leave.
type drainWatch struct {
	c      *cluster
	mu     sync.Mutex
	asked  map[string]question          // by ID of the request
	passed map[string]map[int]time.Time // first answer with leavingHeader, by target and VM
}

// question is a request that a caller sent.
type question struct {
	vm int
	at time.Time
}

func newDrainWatch(c *cluster) *drainWatch {
	return &drainWatch{c: c, asked: map[string]question{}, passed: map[string]map[int]time.Time{}}
}

// ask sends a request to a VM.
func (w *drainWatch) ask(vm int, v *vm, r request) answer {
	r.id = fmt.Sprintf("q%d", number.Add(1))
	w.mu.Lock()
	w.asked[r.id] = question{vm, time.Now()}
	w.mu.Unlock()
	a := w.c.ask(v, r)
	if a.header.Get(leavingHeader) == "" {
		return a
	}
	target, _, _ := strings.Cut(a.header.Get("X-Server-Stamp"), ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.passed[target] == nil {
		w.passed[target] = map[int]time.Time{}
	}
	if _, found := w.passed[target][vm]; !found {
		w.passed[target][vm] = time.Now()
	}
	return a
}

// check expects that a target got no request that a caller sent later than drainBound after
// its VM, and any other one, had passed on an answer in which the target says that it leaves.
// since is when the store heard of it, or later.
func (w *drainWatch) check(target *engine.Target, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	passed, first := w.passed[target.Settings.ID], since
	for _, at := range passed {
		if at.Before(first) {
			first = at
		}
	}
	broken, late, after := 0, 0, 0
	for _, run := range target.Runs() {
		q := w.asked[run.ID]
		if at, told := passed[q.vm]; told && q.at.Sub(at) > drainBound {
			broken++
		}
		if q.at.Sub(first) > drainBound {
			late++
		}
		if q.at.After(first) {
			after++
		}
	}
	w.c.t.Logf("%s: heard by %d VMs, %d requests sent after the first answer that says so, %d after %v, %d of VMs that had passed it on",
		target.Settings.ID, len(passed), after, late, drainBound, broken)
	w.c.g.Expect(broken).To(gomega.BeZero(), "requests to %s from VMs that had passed on that it leaves", target.Settings.ID)
	w.c.g.Expect(late).To(gomega.BeZero(), "requests to %s, of which another VM had heard that it leaves", target.Settings.ID)
}

// keepAsking sends requests to a VM until an end, with several callers.
func (w *drainWatch) keepAsking(callers *sync.WaitGroup, vm int, v *vm, end time.Time) {
	for i := range 4 {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				w.ask(vm, v, request{path: quote + "x", adapter: fmt.Sprint("a", (i+n)%3), deadline: 2 * time.Second})
				w.ask(vm, v, request{path: lookup + "x", deadline: time.Second})
			}
		})
	}
}

// spreadAdapters is the number of adapters that spread divides among the engines.
const spreadAdapters = 9

// spread makes each engine the only one that holds some adapters, with room for one more.
func spread(c *cluster) {
	for n := range spreadAdapters {
		c.g.Expect(c.engines[n%len(c.engines)].Hold(fmt.Sprint("a", n))).To(gomega.Succeed())
	}
}

// askAllEngines sends requests to a VM until done is closed, with several callers, for all
// adapters that spread has divided.
func (w *drainWatch) askAllEngines(callers *sync.WaitGroup, vm int, v *vm, done <-chan struct{}) {
	for i := range 4 {
		callers.Go(func() {
			for n := i; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				w.ask(vm, v, request{path: quote + "x", adapter: fmt.Sprint("a", n%spreadAdapters), deadline: 2 * time.Second})
				w.ask(vm, v, request{path: lookup + "x", deadline: time.Second})
			}
		})
	}
}

// passedOn returns the targets of which an answer was passed on in which they say that they
// leave.
func (w *drainWatch) passedOn() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.passed))
}

// appsLeave makes plain targets say that they leave until the word of some was passed on, and
// returns these. The others do not say so any more. Which of them a VM uses depends on how fast
// they have answered. ask is called in between.
func (w *drainWatch) appsLeave(count int, ask func()) (leaving []*engine.Target) {
	for _, target := range w.c.apps {
		target.SayLeaving("1")
	}
	passed := func() (all []*engine.Target) {
		ids := w.passedOn()
		for _, target := range w.c.apps {
			if slices.Contains(ids, target.Settings.ID) {
				all = append(all, target)
			}
		}
		return all
	}
	w.c.g.Eventually(func() int { ask(); return len(passed()) }).WithTimeout(limit).Should(gomega.BeNumerically(">=", count))
	for _, target := range w.c.apps {
		if !slices.Contains(passed(), target) {
			target.SayLeaving()
		}
	}
	return passed()
}

// runsSince returns the number of requests that a target has run and that were sent after a
// time.
func (w *drainWatch) runsSince(target *engine.Target, since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, run := range target.Runs() {
		if w.asked[run.ID].at.After(since) {
			count++
		}
	}
	return count
}

// Guards against requests to a target that has said in an answer that it leaves, from the VM
// that passed the answer on and from all others, also after the owner of the target's group
// is replaced, and from a VM that starts later.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	const observed = drainBound + 2*time.Second
	for _, test := range []struct {
		name        string
		reportAfter time.Duration // when the target tells the store, negative for never
		killOwner   bool
		startVM     bool
	}{
		{name: "never told to the store, owner killed, VM started", reportAfter: -1, killOwner: true, startVM: true},
		{name: "told to the store later", reportAfter: drainBound + time.Second},
		{name: "told to the store at once"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := start(t, 3, spread)
			c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
			w := newDrainWatch(c)
			var callers sync.WaitGroup
			done := make(chan struct{})
			defer callers.Wait()
			end := sync.OnceFunc(func() { close(done) })
			defer end()
			former := c.owner()
			for i, v := range c.vms {
				if !test.killOwner || v != former {
					w.askAllEngines(&callers, i, v, done)
				}
			}
			for _, target := range c.engines {
				c.g.Eventually(target.Runs).WithTimeout(limit).ShouldNot(gomega.BeEmpty(), target.Settings.ID)
			}
			c.engines[0].SayLeaving("1")
			c.engines[1].SayLeaving("1")
			leaving := []*engine.Target{c.engines[0], c.engines[1]}
			if test.reportAfter != 0 {
				leaving = append(leaving, w.appsLeave(2, func() {})...)
				c.g.Eventually(w.passedOn).WithTimeout(limit).Should(gomega.ContainElements("e0", "e1"))
			} else {
				leaving = append(leaving, c.apps[0], c.apps[1])
				c.apps[0].SayLeaving("1")
				c.apps[1].SayLeaving("1")
			}
			if test.killOwner {
				time.Sleep(drainBound / 5)
				former.daemon.Kill()
			}
			if test.startVM {
				time.Sleep(drainBound / 2)
				v := c.vm(3)
				c.g.Eventually(v.ready).WithTimeout(limit).Should(gomega.Equal(http.StatusOK))
				w.askAllEngines(&callers, 3, v, done)
			}
			if test.reportAfter >= 0 {
				time.Sleep(test.reportAfter)
				for _, target := range leaving {
					c.g.Expect(target.Leave()).To(gomega.Succeed())
				}
			}
			told := time.Now()
			time.Sleep(observed)
			end()
			callers.Wait()
			for _, target := range leaving {
				w.check(target, told)
			}
			c.g.Expect(w.runsSince(c.engines[2], told)).NotTo(gomega.BeZero(), "the engine that stays gets requests")
			if test.startVM {
				c.g.Expect(c.logs.text()).To(gomega.MatchRegexp(`"vm":"vm3","event":"target_leaving","target":"e0"[^}]*"source":"owner","age_ms":`))
			}
		})
	}
}

// Guards against requests to a target that has said to this VM that it leaves: while the VM is cut
// off from the store, the owner and all other VMs, after that, and after the target has ceased to
// say so, or the store has missed it.
func TestOwnWordOfATargetBindsAVMThatIsCutOff(t *testing.T) {
	c := start(t, 3, spread)
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	former := c.owner()
	at := slices.IndexFunc(c.vms, func(v *vm) bool { return v != former })
	cutOff, w := c.vms[at], newDrainWatch(c)
	askPlain := func() { w.ask(at, cutOff, request{path: lookup + "x", deadline: time.Second}) }
	askAll := func() {
		for n := range spreadAdapters {
			w.ask(at, cutOff, request{path: quote + "x", adapter: fmt.Sprint("a", n), deadline: time.Second})
			askPlain()
			w.ask(at, cutOff, request{path: booking + "x", deadline: time.Second})
		}
	}
	leaving := []*engine.Target{c.engines[0], c.engines[1]}
	askAll()
	cutOff.link.Set(true, false, 0)
	for _, v := range c.vms {
		if v != cutOff {
			v.daemon.Kill()
		}
	}
	for _, target := range leaving {
		target.SayLeaving("1")
	}
	c.g.Eventually(func() []string { askAll(); return w.passedOn() }).WithTimeout(limit).Should(gomega.ConsistOf("e0", "e1"))
	leaving = append(leaving, w.appsLeave(1, askPlain)...)
	passed := time.Now()
	for _, target := range leaving {
		target.SayLeaving()
	}
	none := func(when string) {
		askAll()
		for _, target := range leaving {
			c.g.Expect(w.runsSince(target, passed)).To(gomega.BeZero(), "%s: requests to %s", when, target.Settings.ID)
		}
		served := 0
		for _, target := range c.apps {
			served += w.runsSince(target, passed)
		}
		c.g.Expect(served).NotTo(gomega.BeZero(), when)
	}
	none("cut off")
	cutOff.link.Set(false, false, 0)
	cutOff.link.Reset()
	for _, target := range leaving {
		c.store.Remove("servers", target.Settings.ID)
	}
	time.Sleep(drainBound)
	none("missing in the store")
	for _, target := range leaving {
		c.g.Expect(target.Beat()).To(gomega.Succeed())
	}
	c.vms = []*vm{cutOff}
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	time.Sleep(drainBound)
	none("back in touch")
	c.g.Expect(w.runsSince(c.engines[2], passed)).NotTo(gomega.BeZero())
}

// Guards against a stream that is cut, or goes on elsewhere, because its target has said in another
// answer, or to the store, that it leaves.
func TestStreamsGoOnAtTheirLeavingTarget(t *testing.T) {
	const adapter = "a50"
	var slow *engine.Target
	c := start(t, 2, func(c *cluster) {
		slow = c.target(engine.Settings{
			ID: "slow", Service: llm, Zone: dataCentres[0], Model: model, Slots: 16, Adapters: 4,
			Events: events, Pause: 400 * time.Millisecond, Load: 60 * time.Millisecond,
		})
		c.g.Expect(slow.Hold(adapter)).To(gomega.Succeed())
	})
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	answers := make(chan answer, 2*len(c.vms))
	ask := func() {
		running := len(slow.Runs()) + len(c.vms)
		for _, v := range c.vms {
			go func() { answers <- c.ask(v, request{path: quote + "x", adapter: adapter}) }()
		}
		c.g.Eventually(func() int { return len(slow.Runs()) }).WithTimeout(limit).Should(gomega.Equal(running))
	}
	ask()
	slow.SayLeaving("1")
	ask() // these streams state it, while the others have begun
	c.g.Eventually(c.logs.text).WithTimeout(limit).Should(gomega.MatchRegexp(`"event":"target_leaving","target":"slow"[^}]*"source":"answer"`))
	c.g.Expect(slow.Leave()).To(gomega.Succeed())
	stated := 0
	for range 2 * len(c.vms) {
		a := <-answers
		c.g.Expect(a.status).To(gomega.Equal(http.StatusOK))
		c.g.Expect(a.body).To(gomega.Equal(stream(a.id)))
		c.g.Expect(c.runs(a.id)).To(gomega.BeEmpty(), "at other targets")
		if a.header.Get(leavingHeader) != "" {
			stated++
		}
	}
	c.g.Expect(stated).To(gomega.Equal(len(c.vms)))
	c.g.Expect(slow.Runs()).To(gomega.HaveLen(2 * len(c.vms)))
	for _, v := range c.vms {
		c.g.Expect(c.ask(v, request{path: quote + "x", adapter: adapter}).status).To(gomega.Equal(http.StatusOK), "loaded elsewhere")
	}
	c.g.Expect(slow.Runs()).To(gomega.HaveLen(2 * len(c.vms)))
}

// Guards against a target that stays out of use although it has started anew, or never said
// that it leaves: in a value that says nothing, or in an answer that is not its own.
func TestOnlyItsOwnWordTakesATargetOutOfUse(t *testing.T) {
	c := start(t, 2)
	only := c.apps[0]
	for _, other := range c.apps[1:] {
		c.g.Expect(other.Leave()).To(gomega.Succeed())
	}
	served := func() int {
		status := 0
		for _, v := range c.vms {
			if status = c.ask(v, request{path: lookup + "x"}).status; status != http.StatusOK {
				break
			}
		}
		return status
	}
	c.g.Eventually(served).WithTimeout(limit).Should(gomega.Equal(http.StatusOK))
	for _, values := range [][]string{{"0"}, {"yes"}, {"1", "1"}, {""}, {"true"}, {"-1"}, {"01"}} {
		only.SayLeaving(values...)
		for range 4 {
			c.g.Expect(served()).To(gomega.Equal(http.StatusOK), "after %q", values)
		}
	}
	for _, fault := range []engine.Fault{engine.Foreign, engine.Unsigned} {
		only.SayLeaving("1")
		only.SetFault(fault, 1)
		c.ask(c.vms[0], request{path: booking + "x"})
		only.SayLeaving()
		c.g.Eventually(served).WithTimeout(limit).Should(gomega.Equal(http.StatusOK), string(fault))
	}
	only.SayLeaving("1")
	c.g.Eventually(served).WithTimeout(limit).Should(gomega.Equal(http.StatusServiceUnavailable))
	only.Crash()
	time.Sleep(2 * time.Millisecond) // the start time of a target counts milliseconds
	c.target(only.Settings)
	c.g.Eventually(served).WithTimeout(limit).Should(gomega.Equal(http.StatusOK), "started anew at the same address")
	c.g.Expect(c.logs.text()).To(gomega.And(
		gomega.MatchRegexp(`"event":"target_leaving","target":"a0"[^}]*"source":"answer","age_ms":`),
		gomega.MatchRegexp(`"event":"target_restarted"[^}]*"target":"a0"`)))
}

// Guards against requests that wait for their deadline although all targets of the service
// have said that they leave, and against streams that are cut because their target leaves.
func TestRequestsAreRefusedAtOnceWhileAllTargetsLeave(t *testing.T) {
	c := start(t, 2)
	objective := time.Second // of the routes
	c.g.Expect(c.ask(c.vms[0], request{path: quote + "x", adapter: "a1"}).status).To(gomega.Equal(http.StatusOK))
	for _, target := range append(append([]*engine.Target{}, c.engines...), c.apps...) {
		target.SayLeaving("1")
	}
	for _, path := range []string{quote, lookup, booking} {
		adapter := ""
		if path == quote {
			adapter = "a1"
		}
		for _, v := range c.vms {
			c.g.Eventually(func() int {
				a := c.ask(v, request{path: path + "x", adapter: adapter})
				if a.status == http.StatusOK && path == quote {
					c.g.Expect(a.body).To(gomega.Equal(stream(a.id)), "a stream that has begun goes on")
				}
				return a.status
			}).WithTimeout(limit).Should(gomega.Equal(http.StatusServiceUnavailable))
			a := c.ask(v, request{path: path + "x", adapter: adapter})
			c.g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
			c.g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			c.g.Expect(a.took).To(gomega.BeNumerically("<", objective), path)
			c.g.Expect(c.runs(a.id)).To(gomega.BeEmpty())
		}
	}
}
