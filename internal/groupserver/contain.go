package groupserver

import (
	"context"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/placer"
)

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
