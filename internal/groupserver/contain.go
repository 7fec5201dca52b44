package groupserver

import (
	"context"
	"time"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/placer"
)

// coreRestartDelay is the time between a panic in a core and the first tick of the next one.
const coreRestartDelay = 100 * time.Millisecond

// contain reports a panic. It must be deferred.
func (m *Manager) contain(place string) {
	if cause := recover(); cause != nil {
		m.opt.Observer.Panicked(place, errs.FromPanic(cause))
	}
}

// containCore replaces the core after a panic, which may have left it in any state. VMs ask
// again for the requests that wait. It must be deferred, by a function whose caller holds the
// lock.
func (g *group) containCore() {
	cause := recover()
	if cause == nil {
		return
	}
	g.manager.opt.Observer.Panicked("core", errs.FromPanic(cause))
	record, _ := g.tenure.Record()
	restarts := g.tenure.Owns() && !g.halted
	g.stopCore()
	if restarts {
		g.startCore(record)
		g.timer.Reset(coreRestartDelay)
	}
}

// update passes an input to the core and runs it. The caller holds the lock.
func (g *group) update(input func()) {
	defer g.containCore()
	input()
	g.tick()
}

// attemptOrder sends an order if that is allowed. It returns the number of the order, 0 if it
// was not allowed. After a panic the order may have been sent.
func (g *group) attemptOrder(core *placer.Core, epoch int64, order placer.Order) (result placer.OrderResult, number uint64) {
	result = placer.Unanswered
	defer g.manager.contain("order")
	began := time.Now()
	allowed := false
	if !g.holdOrders(core, order.Target) {
		number, allowed = g.beginOrder(core)
	}
	sent := placer.Withheld
	if allowed {
		sent = g.manager.callOrder(order, epoch)
	}
	g.manager.opt.Observer.Ordered(g.name, epoch, order, sent, time.Since(began))
	return sent, number
}

// callOrder sends an order to its target. After a panic the order may have been sent.
func (m *Manager) callOrder(order placer.Order, epoch int64) (result placer.OrderResult) {
	defer func() {
		if cause := recover(); cause != nil {
			m.opt.Observer.Panicked("order", errs.FromPanic(cause))
			result = placer.Unanswered
		}
	}()
	return m.opt.Engines.Order(m.listen(order.Target, order.Born), order, m.opt.VM, epoch)
}

// callReport fetches the report of a target.
func (m *Manager) callReport(c placer.FetchReport) (report *placer.Report, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			failure := errs.FromPanic(cause)
			m.opt.Observer.Panicked("report", failure)
			report, err = nil, failure
		}
	}()
	return m.opt.Engines.Report(m.listen(c.Target, c.Born), c.Target, c.Address)
}

// listen returns a context for a call to an incarnation of a target.
func (m *Manager) listen(target string, born int64) context.Context {
	if m.opt.Heard == nil {
		return context.Background()
	}
	return advisory.WithCallListener(context.Background(), func(s advisory.CallStatement) { m.opt.Heard(target, born, s) })
}
