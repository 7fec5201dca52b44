package groupserver

import (
	"context"
	"time"

	"cicadaslip/internal/bootclock"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

// orderGate decides whether the owner of a group may send orders, and tracks those that
// may still reach their targets. Its times are those of bootclock.
type orderGate struct {
	permission tenure.Permission
	askedAt    time.Duration // when the last confirmation was requested
	confirming bool          // a call for a confirmation is running
	count      uint64
	underWay   map[uint64]time.Duration // when each order without an answer was started, by number
}

// maxUnderWay is the number of orders without an answer from which those that have arrived
// are dropped.
const maxUnderWay = 64

// begin records that an order is about to be sent and returns its number.
func (o *orderGate) begin(now time.Duration) uint64 {
	if o.underWay == nil {
		o.underWay = map[uint64]time.Duration{}
	}
	if len(o.underWay) >= maxUnderWay {
		o.arriveWithin(now)
	}
	o.count++
	o.underWay[o.count] = now
	return o.count
}

func (o *orderGate) answered(number uint64) { delete(o.underWay, number) }

// arriveWithin returns the time by which all orders have reached their targets, and drops
// those that have.
func (o *orderGate) arriveWithin(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for number, startedAt := range o.underWay {
		left := startedAt + tenure.OrderFlight - now
		if left <= 0 {
			delete(o.underWay, number)
		}
		longest = max(longest, left)
	}
	return longest
}

// blindWait is the shortest time for which an owner that has lost its permission is
// expected to remain without one.
const blindWait = 500 * time.Millisecond

// ordersAllowed reports whether an order may be sent now. If not, it returns the expected
// time until one may. The caller holds the lock.
func (g *group) ordersAllowed() (allowed bool, expectedWait time.Duration) {
	if g.halted || g.manager.draining.Load() {
		return false, blindWait
	}
	if g.manager.opt.TargetsCheckFences {
		return true, 0
	}
	if wait := g.tenure.OrdersFrom() - g.manager.now(); wait > 0 {
		return false, wait
	}
	now := bootclock.Now()
	if !g.orders.permission.AllowsOrder(now) {
		return false, max(blindWait, g.orders.permission.ExpiredFor(now))
	}
	return true, 0
}

// confirmationOverdue reports whether the owner lacks the confirmation of its ownership.
// The caller holds the lock.
func (g *group) confirmationOverdue(now time.Duration) bool {
	return !g.manager.opt.TargetsCheckFences && g.orders.permission.Overdue(now)
}

// beginOrder reports whether the core may send an order now, and records it if so.
func (g *group) beginOrder(core *placer.Core) (number uint64, allowed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if allowed, _ = g.ordersAllowed(); !allowed || g.core != core || g.tenure.Isolated(g.manager.now()) {
		return 0, false
	}
	return g.orders.begin(bootclock.Now()), true
}

// confirm renews the permission if a record confirms the ownership. sentAt is when the
// call to the store that returned or wrote the record was sent.
func (g *group) confirm(r tenure.Record, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core != nil && g.tenure.Confirms(r, g.epoch) {
		g.orders.permission.Confirm(sentAt, r.Reliant == r.Epoch)
		g.tick()
	}
}

// passConfirmation tells the tenure state machine, whose clock may stop while the VM is suspended,
// when the store last confirmed the ownership. The caller holds the lock.
func (g *group) passConfirmation() {
	now := g.manager.now()
	if sentAt, confirmed := g.orders.permission.ConfirmedAt(); confirmed && g.core != nil {
		g.tenure.OwnershipConfirmed(g.epoch, now-(bootclock.Now()-sentAt))
	}
}

// startConfirmation starts to confirm the ownership of the group if that is due.
func (g *group) startConfirmation(ctx context.Context) {
	now := bootclock.Now()
	g.mu.Lock()
	due := g.core != nil && !g.halted && !g.manager.opt.TargetsCheckFences && !g.orders.confirming &&
		now-g.orders.askedAt >= tenure.ConfirmInterval
	if due {
		g.orders.confirming, g.orders.askedAt = true, now
	}
	g.mu.Unlock()
	if due {
		go g.confirmOwnership(ctx)
	}
}

// confirmTimeout limits one call for a confirmation. A later answer would hardly leave time
// to send orders.
const confirmTimeout = 600 * time.Millisecond

// confirmOwnership reads the group's object from the store.
func (g *group) confirmOwnership(ctx context.Context) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.orders.confirming = false
	}()
	defer g.manager.contain("confirmation")
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	key, _ := g.object()
	sentAt := bootclock.Now()
	object, err := g.manager.opt.Store.Get(ctx, key, 0)
	g.manager.opt.StoreCalled(err)
	if err == nil {
		if r, ok := g.manager.setObject(object); ok {
			g.confirm(r, sentAt)
		}
	}
}

// haltPollInterval is the time between two checks whether all orders have arrived.
const haltPollInterval = 5 * time.Millisecond

// halt stops the orders of the group and waits until those under way have reached their
// targets, so that the next owner may order at once.
func (g *group) halt(ctx context.Context) {
	g.mu.Lock()
	g.halted = true
	g.tenure.BeginRelease(g.manager.now())
	g.mu.Unlock()
	for !g.manager.opt.TargetsCheckFences && g.arriveWithin() > 0 && pause.For(ctx, haltPollInterval) {
	}
}

func (g *group) arriveWithin() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.orders.arriveWithin(bootclock.Now())
}

// stoppedBefore tells the owner of an epoch whether this VM, as the owner of the epoch
// before, has stopped sending orders, and the orders of earlier owners have arrived.
func (g *group) stoppedBefore(epoch int64) grouprpc.AnnounceReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	record, exists := g.tenure.Record()
	return grouprpc.AnnounceReply{
		Stopped:            exists && record.Epoch == epoch && g.core == nil && g.epoch == epoch-1 && g.closed,
		OrdersArriveWithin: g.orders.arriveWithin(bootclock.Now()),
	}
}
