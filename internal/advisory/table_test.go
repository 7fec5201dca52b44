package advisory_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/ratelimit"
)

// answer is one answer of an incarnation of the target, as the test knows it.
type answer struct {
	vm          int
	born        int64
	sent, heard time.Duration // at the VM
	leaving     bool
	unclear     bool
	pause       time.Duration
}

// message is a delta on its way to another VM.
type message struct {
	to    int
	delta advisory.Delta
}

// calledInPause is a call to a target during its pause.
type calledInPause struct {
	vm       int
	born     int64
	at       time.Duration
	recorded []*answer // before the call
}

// world is one target, with several incarnations at one ID, and the VMs that hear of it.
type world struct {
	now      time.Duration
	vms      []*advisory.Table
	seen     []uint64 // by VM: version of the first VM's table that it has received
	sent     []uint64 // by VM: version of its own table that the first VM has received
	born     int64
	leaving  bool
	requests []*answer // not yet answered
	answers  []*answer // of all incarnations, not yet recorded
	recorded []*answer
	messages []message
	told     bool           // a message has arrived
	said     map[int64]bool // incarnations of which an answer was recorded that says that they leave
	noted    []int64        // by VM: incarnation whose pause has begun and not ended, 0 for none
	calls    []calledInPause
}

// step advances the clock. Times are distinct, so that the order of events is defined.
func (w *world) step(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
}

// mustLeave reports whether a VM has to keep requests from the newest incarnation: it has
// recorded an answer in which the target says that it leaves, whatever came after.
func (w *world) mustLeave(vm int) bool {
	return slices.ContainsFunc(w.recorded, func(a *answer) bool { return a.vm == vm && a.born == w.born && a.leaving && !a.unclear })
}

// heardNothing reports whether a VM has recorded no answer of the newest incarnation.
func (w *world) heardNothing(vm int) bool {
	return !slices.ContainsFunc(w.recorded, func(a *answer) bool { return a.vm == vm && a.born == w.born })
}

// restart makes a VM forget all. The calls between it and the first VM begin anew.
func (w *world) restart(vm int) {
	of := func(a *answer) bool { return a.vm == vm }
	w.requests, w.answers, w.recorded = slices.DeleteFunc(w.requests, of), slices.DeleteFunc(w.answers, of), slices.DeleteFunc(w.recorded, of)
	w.vms[vm], w.noted[vm] = advisory.NewTable(), 0
	w.calls = slices.DeleteFunc(w.calls, func(c calledInPause) bool { return c.vm == vm })
	for other := range w.vms {
		if vm == 0 || other == vm {
			w.seen[other], w.sent[other] = 0, 0
		}
	}
}

// callOwner makes a VM call the first VM without a loss.
func (w *world) callOwner(vm int) {
	own := w.vms[vm].Since(w.now, w.sent[vm], true)
	w.vms[0].Merge(w.now, own)
	told := w.vms[0].Since(w.now, w.seen[vm], false)
	w.vms[vm].Merge(w.now, told)
	w.sent[vm], w.seen[vm], w.told = own.Version, told.Version, true
}

// mayLeave reports whether the newest incarnation has ever stated that it leaves.
func (w *world) mayLeave() bool {
	return w.said[w.born]
}

// pausedFor returns the rest of the pause that the newest incarnation wants from a VM.
func (w *world) pausedFor(vm int) time.Duration {
	left := time.Duration(0)
	for _, a := range w.recorded {
		if a.vm == vm && a.born == w.born && a.pause > 0 {
			left = max(left, a.heard+a.pause-w.now)
		}
	}
	return left
}

func (w *world) check(t *rapid.T) {
	i := advisory.Incarnation{Target: "t", Born: w.born}
	for vm, table := range w.vms {
		if got, want := table.PausedFor(w.now, i), w.pausedFor(vm); got != want {
			t.Fatalf("VM %d keeps requests from incarnation %d for %v, which wants %v", vm, w.born, got, want)
		}
		w.checkChanges(t, vm)
		w.checkCalls(t, vm)
		leaving := table.Leaving(i)
		if w.mustLeave(vm) && !leaving {
			t.Fatalf("VM %d sends requests to incarnation %d although it has said that it leaves", vm, w.born)
		}
		if leaving && !w.told && !w.mustLeave(vm) {
			t.Fatalf("VM %d keeps requests from incarnation %d, which has said that it does not leave", vm, w.born)
		}
		if leaving && !w.mayLeave() {
			t.Fatalf("VM %d keeps requests from incarnation %d, which has not said that it leaves", vm, w.born)
		}
	}
}

// checkCalls expects at most one call of a VM during each pause that it knew.
func (w *world) checkCalls(t *rapid.T, vm int) {
	for _, a := range w.recorded {
		calls := 0
		for _, c := range w.calls {
			if c.vm == vm && a.vm == vm && c.born == a.born && slices.Contains(c.recorded, a) && c.at >= a.heard && c.at < a.heard+a.pause {
				calls++
			}
		}
		if calls > 1 {
			t.Fatalf("VM %d: %d calls to incarnation %d between %v and %v", vm, calls, a.born, a.heard, a.heard+a.pause)
		}
	}
}

// checkChanges expects that the pauses of a VM begin and end in turn, and that one which has
// begun and not ended is the current one.
func (w *world) checkChanges(t *rapid.T, vm int) {
	table := w.vms[vm]
	for _, c := range table.PauseChanges(w.now) {
		if c.Ended == (w.noted[vm] == 0) || c.Ended && c.Born != w.noted[vm] {
			t.Fatalf("VM %d: change %+v after the pause of incarnation %d", vm, c, w.noted[vm])
		}
		if w.noted[vm] = c.Born; c.Ended {
			w.noted[vm] = 0
		}
	}
	current := int64(0)
	for _, p := range table.Pauses(w.now) {
		current = p.Born
	}
	if w.noted[vm] != current {
		t.Fatalf("VM %d: incarnation %d pauses, not %d", vm, current, w.noted[vm])
	}
}

// Guards against a statement that is lost or comes back in any order of answers, messages
// between VMs, lost messages and restarts of VMs and of the target at the same ID: an old answer
// that is recorded after a newer one, an answer of a former incarnation, a message that is late,
// and an answer in which a target that has said that it leaves does not say so.
// A pause binds the VM that was told until the end of the longest one, and no other VM.
func TestStatementsOfAnyOrder(t *testing.T) {
	const rounds = 50 // of rapid's number of checks
	for range rounds {
		rapid.Check(t, checkAnyOrder)
		if t.Failed() {
			return
		}
	}
}

func checkAnyOrder(t *rapid.T) {
	vms := rapid.IntRange(2, 4).Draw(t, "VMs")
	w := &world{born: 1, seen: make([]uint64, vms), sent: make([]uint64, vms), noted: make([]int64, vms), said: map[int64]bool{}}
	for range vms {
		w.vms = append(w.vms, advisory.NewTable())
	}
	t.Repeat(map[string]func(*rapid.T){
		"target changes its mind": func(t *rapid.T) { w.step(t); w.leaving = !w.leaving },
		"target restarts":         func(t *rapid.T) { w.step(t); w.born++; w.leaving = false },
		"request is sent": func(t *rapid.T) {
			w.step(t)
			w.requests = append(w.requests, &answer{vm: rapid.IntRange(0, vms-1).Draw(t, "VM"), born: w.born, sent: w.now})
		},
		"request is answered": func(t *rapid.T) {
			if len(w.requests) == 0 {
				t.Skip("no request")
			}
			w.step(t)
			n := rapid.IntRange(0, len(w.requests)-1).Draw(t, "request")
			a := w.requests[n]
			w.requests = append(w.requests[:n:n], w.requests[n+1:]...)
			if a.born == w.born { // those to former incarnations have failed
				a.leaving, a.heard, a.unclear = w.leaving, w.now, rapid.IntRange(0, 9).Draw(t, "unclear") == 0
				a.pause = max(0, time.Duration(rapid.IntRange(-2, 3).Draw(t, "pause"))*time.Second)
				w.answers = append(w.answers, a)
			}
		},
		"answer is recorded": func(t *rapid.T) {
			if len(w.answers) == 0 {
				t.Skip("no answer")
			}
			w.step(t)
			n := rapid.IntRange(0, len(w.answers)-1).Draw(t, "answer")
			a := w.answers[n]
			if rapid.Bool().Draw(t, "once") {
				w.answers = append(w.answers[:n:n], w.answers[n+1:]...)
			}
			w.vms[a.vm].Observe(advisory.Incarnation{Target: "t", Born: a.born}, advisory.Statement{
				Leaving: a.leaving && !a.unclear, Unclear: a.unclear, SentAt: a.sent, HeardAt: a.heard, Pause: a.pause,
			}, ratelimit.Position{VMs: vms})
			w.recorded = append(w.recorded, a)
			w.said[a.born] = w.said[a.born] || a.leaving && !a.unclear
		},
		"time passes": func(t *rapid.T) {
			if w.now > 40*time.Minute {
				t.Skip("the target has ended")
			}
			w.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "s")) * time.Second
		},
		"VM restarts": func(t *rapid.T) { w.step(t); w.restart(rapid.IntRange(0, vms-1).Draw(t, "VM")) },
		"all VMs call the owner": func(t *rapid.T) {
			w.step(t)
			for range 2 {
				for vm := 1; vm < vms; vm++ {
					w.callOwner(vm)
				}
			}
			for teller := range vms {
				for vm := range vms {
					unheard := w.heardNothing(vm) && (w.heardNothing(0) || w.mustLeave(0))
					if w.mustLeave(teller) && unheard && !w.vms[vm].Leaving(advisory.Incarnation{Target: "t", Born: w.born}) {
						t.Fatalf("VM %d has not heard from VM %d that incarnation %d leaves", vm, teller, w.born)
					}
				}
			}
		},
		"VM calls the owner": func(t *rapid.T) {
			w.step(t)
			vm := rapid.IntRange(1, vms-1).Draw(t, "VM")
			w.messages = append(w.messages,
				message{0, w.vms[vm].Since(w.now, w.sent[vm], true)},
				message{vm, w.vms[0].Since(w.now, w.seen[vm], false)})
		},
		"message arrives": func(t *rapid.T) {
			if len(w.messages) == 0 {
				t.Skip("no message")
			}
			w.step(t)
			n := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
			m := w.messages[n]
			w.messages, w.told = append(w.messages[:n:n], w.messages[n+1:]...), true
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
				w.vms[m.to].Merge(w.now, m.delta)
			}
		},
		"VM calls the target": func(t *rapid.T) {
			w.step(t)
			vm := rapid.IntRange(0, vms-1).Draw(t, "VM")
			i := advisory.Incarnation{Target: "t", Born: w.born}
			left, allowed := w.vms[vm].PausedFor(w.now, i), w.vms[vm].TakeCall(w.now, i)
			switch {
			case left == 0 && !allowed:
				t.Fatalf("VM %d may not call incarnation %d, which does not pause", vm, w.born)
			case left > 0 && allowed:
				w.calls = append(w.calls, calledInPause{vm, w.born, w.now, slices.Clone(w.recorded)})
			case left > 0 && !slices.ContainsFunc(w.calls, func(c calledInPause) bool { return c.vm == vm && c.born == w.born }):
				t.Fatalf("VM %d may not call incarnation %d, which it has not called", vm, w.born)
			}
		},
		"target is listed": func(t *rapid.T) {
			w.step(t)
			listed := rapid.IntRange(0, 5).Draw(t, "listed") > 0
			born := w.born - int64(rapid.IntRange(0, 1).Draw(t, "behind"))
			w.vms[rapid.IntRange(0, vms-1).Draw(t, "VM")].Retain(w.now, func(string) (int64, bool) { return born, listed })
		},
		"": w.check,
	})
}

// Guards against requests to a target that has told this VM that it leaves: an answer to a later
// request does not say so, or its entry is missing for minutes.
func TestOwnWordOfATargetBindsUntilItsEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	i := advisory.Incarnation{Target: "t", Born: 7}
	table := advisory.NewTable()
	observe := func(sent, heard time.Duration, leaving bool) bool {
		table.Observe(i, advisory.Statement{Leaving: leaving, SentAt: sent, HeardAt: heard}, ratelimit.Position{})
		return table.Leaving(i)
	}
	g.Expect(observe(2, 5, true)).To(gomega.BeTrue())
	g.Expect(observe(4, 6, false)).To(gomega.BeTrue(), "sent before the statement")
	g.Expect(observe(6, 7, false)).To(gomega.BeTrue(), "sent after the statement")
	table.Retain(time.Second, func(string) (int64, bool) { return 0, false })
	table.Retain(10*time.Minute, func(string) (int64, bool) { return 0, false })
	table.Retain(10*time.Minute, func(string) (int64, bool) { return 7, true })
	g.Expect(table.Leaving(i)).To(gomega.BeTrue(), "its entry is back")
	g.Expect(table.Leaving(advisory.Incarnation{Target: "t", Born: 8})).To(gomega.BeFalse(), "the next incarnation")

	table = advisory.NewTable()
	g.Expect(observe(8, 9, false)).To(gomega.BeFalse())
	g.Expect(observe(3, 5, true)).To(gomega.BeTrue(), "passed on later than the answer to a later request")
}

// Guards against a target that stays out of use because of what another VM has heard, although
// its answer to a later request of this VM does not say that it leaves, and against one that
// comes back because of an older answer.
func TestLaterAnswerEndsTheWordOfAnotherVM(t *testing.T) {
	g := gomega.NewWithT(t)
	i := advisory.Incarnation{Target: "t", Born: 7}
	table := advisory.NewTable()
	tell := func(now, at time.Duration) bool {
		table.Merge(now, advisory.Delta{Leaving: []advisory.LeavingTarget{{Target: "t", Born: 7, Age: now - at}}})
		return table.Leaving(i)
	}
	stay := func(sent, heard time.Duration) bool {
		table.Observe(i, advisory.Statement{SentAt: sent, HeardAt: heard}, ratelimit.Position{})
		return table.Leaving(i)
	}
	g.Expect(tell(6, 5)).To(gomega.BeTrue())
	g.Expect(stay(4, 7)).To(gomega.BeTrue(), "sent before the statement")
	g.Expect(stay(6, 8)).To(gomega.BeFalse())
	g.Expect(tell(9, 4)).To(gomega.BeFalse(), "older than the request whose answer ended it")
	g.Expect(tell(10, 9)).To(gomega.BeTrue())
}

// Guards against a statement that does not reach all VMs through the owner, or not the next
// owner and a VM that starts after the former owner's end.
func TestStatementsReachAllVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	var vms []*advisory.Table
	for range 4 {
		vms = append(vms, advisory.NewTable())
	}
	i := advisory.Incarnation{Target: "t", Born: 7}
	sync := func(now time.Duration, vm, owner *advisory.Table) {
		owner.Merge(now, vm.Since(now, 0, true))
		vm.Merge(now, owner.Since(now, 0, false))
	}
	now := time.Second
	g.Expect(vms[1].Observe(i, advisory.Statement{Leaving: true, SentAt: 0, HeardAt: now}, ratelimit.Position{VMs: 4})).To(gomega.BeTrue())
	sync(now, vms[1], vms[0])
	sync(now, vms[2], vms[0])
	for n := range 3 {
		g.Expect(vms[n].Leaving(i)).To(gomega.BeTrue(), fmt.Sprint("VM ", n))
	}
	source, age := vms[2].Origin(3*time.Second, "t")
	g.Expect(source).To(gomega.Equal(advisory.Owner))
	g.Expect(age).To(gomega.Equal(2 * time.Second))
	now = 5 * time.Second
	next := vms[2] // which has heard of it only from the former owner
	sync(now, vms[3], next)
	g.Expect(vms[3].Leaving(i)).To(gomega.BeTrue(), "a VM that starts later")
	restarted := advisory.NewTable()
	sync(now, vms[1], restarted)
	g.Expect(restarted.Leaving(i)).To(gomega.BeTrue(), "an owner that has started anew")
	g.Expect(restarted.Leaving(advisory.Incarnation{Target: "t", Born: 8})).To(gomega.BeFalse(), "the next incarnation")
	g.Expect(vms[1].Since(now, vms[1].Since(now, 0, true).Version, true).Leaving).To(gomega.BeEmpty(), "nothing is told twice")
}

// Guards against a new owner that no VM tells that a target leaves: this VM had heard it from
// the former owner first, and then from the target.
func TestOwnWordIsToldAfterThatOfAnotherVM(t *testing.T) {
	g := gomega.NewWithT(t)
	i := advisory.Incarnation{Target: "t", Born: 7}
	table := advisory.NewTable()
	table.Merge(2, advisory.Delta{Version: 1, Leaving: []advisory.LeavingTarget{{Target: "t", Born: 7, Age: 1}}})
	told := table.Since(3, 0, true)
	g.Expect(told.Leaving).To(gomega.BeEmpty())
	for at := range time.Duration(2) {
		table.Observe(i, advisory.Statement{Leaving: true, HeardAt: 4 + at}, ratelimit.Position{})
	}
	told = table.Since(6, told.Version, true)
	g.Expect(told.Leaving).To(gomega.HaveLen(1))
	g.Expect(table.Since(7, told.Version, true).Leaving).To(gomega.BeEmpty(), "nothing is told twice")
}

// Guards against statements that are kept for ever, and against one that is lost because the
// entry of its target is missing for a while.
func TestStatementsEndWithTheirTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	table := advisory.NewTable()
	i := advisory.Incarnation{Target: "t", Born: 7}
	table.Observe(i, advisory.Statement{Leaving: true, HeardAt: time.Second}, ratelimit.Position{})
	unlisted := func(string) (int64, bool) { return 0, false }
	table.Retain(2*time.Minute, unlisted)
	table.Retain(30*time.Minute, unlisted)
	g.Expect(table.Leaving(i)).To(gomega.BeTrue())
	table.Retain(40*time.Minute, func(string) (int64, bool) { return 7, true })
	table.Retain(50*time.Minute, unlisted)
	table.Retain(100*time.Minute, unlisted)
	g.Expect(table.Leaving(i)).To(gomega.BeTrue(), "it was listed in between")
	table.Retain(111*time.Minute, unlisted)
	g.Expect(table.Leaving(i)).To(gomega.BeFalse())
	table.Observe(i, advisory.Statement{Leaving: true, HeardAt: 120 * time.Minute}, ratelimit.Position{})
	table.Retain(121*time.Minute, func(string) (int64, bool) { return 8, true })
	g.Expect(table.Since(121*time.Minute, 0, false).Leaving).To(gomega.BeEmpty())
	const pause = 4 * time.Hour
	table.Observe(i, advisory.Statement{Pause: pause, HeardAt: 130 * time.Minute}, ratelimit.Position{})
	table.Retain(131*time.Minute, unlisted)
	table.Retain(131*time.Minute+pause/2, unlisted)
	g.Expect(table.PausedFor(131*time.Minute+pause/2, i)).To(gomega.Equal(pause/2 - time.Minute))
	table.Retain(131*time.Minute+pause, unlisted)
	g.Expect(table.PausedFor(131*time.Minute, i)).To(gomega.BeZero())
}

// Guards against more than one call to a target during pauses that overlap, and against a
// later pause in which none may be made.
func TestOneCallIsAllowedInEachPause(t *testing.T) {
	g := gomega.NewWithT(t)
	i := advisory.Incarnation{Target: "t", Born: 7}
	table := advisory.NewTable()
	pause := func(at, left time.Duration) {
		table.Observe(i, advisory.Statement{HeardAt: at * time.Second, Pause: left * time.Second}, ratelimit.Position{})
	}
	take := func(at time.Duration) bool { return table.TakeCall(at*time.Second, i) }
	g.Expect(take(0)).To(gomega.BeTrue())
	g.Expect(take(0)).To(gomega.BeTrue(), "it does not pause")
	pause(1, 3)
	g.Expect(take(2)).To(gomega.BeTrue())
	g.Expect(take(3)).To(gomega.BeFalse())
	pause(3, 10)
	g.Expect(take(12)).To(gomega.BeFalse(), "during the pause that overlaps")
	pause(20, 5)
	g.Expect(take(21)).To(gomega.BeTrue())
	g.Expect(table.TakeCall(21*time.Second, advisory.Incarnation{Target: "t", Born: 8})).To(gomega.BeTrue(), "the next incarnation")
}
