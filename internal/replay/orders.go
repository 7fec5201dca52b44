package replay

import (
	"strconv"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Times of the weights store and of load reports.
const (
	loadTime       = 250 * time.Millisecond // of one adapter
	fullSpeedLoads = 8                      // loads in transit that share the links without loss
	reportLag      = 100 * time.Millisecond // of a load report, without a fault
)

// execute carries out an order and calls done with its result.
func (t *target) execute(intent core.Intent, done func(core.Event)) {
	if intent.Kind == core.IntentEvict {
		t.w.checker.evicted(t, intent.Adapter)
		delete(t.resident, intent.Adapter)
		done(core.OrderDone{ID: intent.ID})
		return
	}
	if t.resident[intent.Adapter] {
		done(core.OrderDone{ID: intent.ID})
		return
	}
	t.load(intent, done)
}

// load takes loadTime while at most fullSpeedLoads are in transit in the whole
// deployment, and proportionally longer beyond. It starts when the weights
// store's rate allows it. Its slot is taken from the order on.
func (t *target) load(intent core.Intent, done func(core.Event)) {
	failed := core.OrderFailed{ID: intent.ID, Err: errs.New(errs.AdapterLoadFailed, "the load failed")}
	if len(t.resident)+t.arriving >= t.info.Slots {
		t.w.checker.noSlot(t)
		done(failed)
		return
	}
	t.arriving++
	instance := t.instance
	t.w.after(t.w.loads.next()-t.w.now, func() {
		t.w.loads.inTransit++
		t.w.loads.started++
		took := loadTime * time.Duration(max(t.w.loads.inTransit, fullSpeedLoads)) / fullSpeedLoads
		t.w.after(took, func() {
			t.w.loads.inTransit--
			if t.instance != instance || t.fails() {
				if t.instance == instance {
					t.arriving--
				}
				done(failed)
				return
			}
			t.arriving--
			t.resident[intent.Adapter] = true
			t.w.loaded(t, intent.Adapter)
			done(core.OrderDone{ID: intent.ID})
		})
	})
}

// fails reports whether the fault of the trace lets a load fail.
func (t *target) fails() bool {
	if t.failLoads == 0 {
		return false
	}
	t.failLoads--
	return true
}

// state returns the target's own statement.
func (t *target) state(askedAt time.Duration) core.TargetState {
	s := core.TargetState{
		Target: t.info.Name, Instance: strconv.Itoa(t.instance), RequestedAt: askedAt,
		Resident: sortedAdapters(t.resident),
	}
	for _, j := range append(append([]*job(nil), t.running...), t.waiting...) {
		s.Running = append(s.Running, j.attempt.id)
	}
	return s
}

// report sends the load as it is now after the target's lag.
func (t *target) report(g *groupSim) {
	report := core.LoadReport{Target: t.info.Name, Running: len(t.running), Waiting: len(t.waiting)}
	t.w.after(max(t.lag, reportLag), func() { g.apply(report) })
}

// cancel ends an attempt without an answer.
func (t *target) cancel(id model.RequestID) {
	for _, j := range append(append([]*job(nil), t.running...), t.waiting...) {
		if j.attempt.id == id {
			t.remove(j)
		}
	}
	t.step()
}
