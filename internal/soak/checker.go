package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"cicadaslip/internal/standin/engine"
)

// clock is the format of times in reports.
const clock = "15:04:05.000"

// answer is what a caller saw of one request.
type answer struct {
	id, kind string
	vm       *vm
	start    int // incarnation of the VM's process when the request was sent
	end      int // likewise when it ended
	status   int
	body     string
	named    string // the request that the answer says it belongs to
	server   string // the target that signed the answer
	whole    bool   // the answer ended as it should
	kept     bool   // it was sent on a connection that had carried another request
	sent     time.Time
	written  time.Time // the last byte of the request, zero if it was not sent whole
	head     time.Time // of the answer, zero if there was none
	done     time.Time
	config   int       // of a probe: the version whose route was asked for
	configAt time.Time // of a probe: when the store had acknowledged that version, zero if it has lost it

	key        string
	forged     string    // organisation that the request claimed to be of
	keyAdded   time.Time // when the store had acknowledged the key, as known when the request was sent
	keyRemoved time.Time // likewise its removal, zero if it has not
	retryAfter string
	eventBytes int // length of events that a caller asked for that reads slowly
}

func (a answer) String() string {
	what := "closed without an answer"
	if a.status != 0 {
		what = fmt.Sprintf("cut after status %d and %d bytes", a.status, len(a.body))
	}
	return fmt.Sprintf("%s %s at %s, sent at %s, %s after %v, kept connection %t",
		a.kind, a.id, a.vm.name, a.sent.Format(clock), what, a.done.Sub(a.sent).Round(time.Millisecond), a.kept)
}

// checker compares what callers saw with what targets ran.
type checker struct {
	mu         sync.Mutex
	answers    []answer
	violations []string
	inForce    map[string]int // newest version seen, by VM and incarnation
}

func newChecker() *checker { return &checker{inForce: map[string]int{}} }

func (c *checker) note(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.status == http.StatusOK && a.whole && a.body != expected(a) {
		c.fail("%s %s: a success with another body", a.kind, a.id)
	}
	if a.status == http.StatusOK && a.named != a.id {
		c.fail("%s %s: an answer that belongs to %q", a.kind, a.id, a.named)
	}
	if a.kind == kindProbe {
		c.noteProbe(a)
	}
	if a.eventBytes > 0 {
		a.body = "" // the bodies of all slow callers would take too much memory
	}
	c.answers = append(c.answers, a)
}

// noteProbe checks that a process never takes a configuration back. Routes of later
// versions are added and never removed.
func (c *checker) noteProbe(a answer) {
	if a.start != a.vm.incarnation() {
		return
	}
	key := fmt.Sprintf("%s/%d", a.vm.name, a.start)
	switch {
	case a.status == http.StatusOK:
		c.inForce[key] = max(c.inForce[key], a.config)
	case a.status == http.StatusNotFound && c.inForce[key] >= a.config:
		c.fail("%s went back behind configuration %d", key, a.config)
	}
}

func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func expected(a answer) string {
	if a.kind != kindQuote && a.kind != kindNotes {
		return engine.Answer(a.id)
	}
	text := ""
	for n := 1; n <= streamEvents; n++ {
		text += engine.PaddedEvent(a.id, n, a.eventBytes)
	}
	return text
}

// finish checks the runs of all targets against the answers.
func (c *checker) finish(targets []*engine.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := runsByID(targets)
	for _, t := range targets {
		if t.Overfull() {
			c.fail("%s was ordered over its places", t.Settings.ID)
		}
		c.checkOrders(t)
	}
	known := map[string]bool{}
	for _, a := range c.answers {
		known[a.id] = true
		c.checkRuns(a, runs[a.id])
	}
	for id := range runs {
		if !known[id] {
			c.fail("%s ran and nobody asked for it", id)
		}
	}
}

// runsByID returns what the targets ran, by request.
func runsByID(targets []*engine.Target) map[string][]engine.Run {
	found := map[string][]engine.Run{}
	for _, t := range targets {
		for _, r := range t.Runs() {
			found[r.ID] = append(found[r.ID], r)
		}
	}
	return found
}

// checkOrders checks that no order of an owner arrived after one of a later owner, where
// the target would have carried it out.
func (c *checker) checkOrders(t *engine.Target) {
	if !t.Settings.NoFences {
		return
	}
	orders := t.ReceivedOrders()
	for i := 1; i < len(orders); i++ {
		if before, o := orders[i-1], orders[i]; o.Token < before.Token || o.Token == before.Token && o.Holder != before.Holder {
			c.fail("%s got an order of %s with token %d %v after one of %s with token %d",
				t.Settings.ID, o.Holder, o.Token, o.At.Sub(before.At), before.Holder, before.Token)
			return
		}
	}
}

func (c *checker) checkRuns(a answer, runs []engine.Run) {
	once := a.kind == kindBooking || a.kind == kindNotes || a.kind == kindExport
	if once && len(runs) > 1 {
		c.fail("%s %s ran %d times", a.kind, a.id, len(runs))
	}
	if len(runs) > 2 {
		c.fail("%s %s ran on %d targets", a.kind, a.id, len(runs))
	}
	refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	if once && refused && len(runs) > 0 {
		c.fail("%s %s was refused as not run and ran", a.kind, a.id)
	}
	if a.status == http.StatusOK && a.whole && len(runs) == 0 {
		c.fail("%s %s was answered and did not run", a.kind, a.id)
	}
}
