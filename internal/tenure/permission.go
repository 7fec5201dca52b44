package tenure

import "time"

const (
	// permissionTime is how long an owner may order after it sent the call to the store
	// that confirmed its ownership. It spans several confirmations, so that a slow answer
	// of the store or a broken connection does not interrupt the orders.
	permissionTime = 1500 * time.Millisecond
	// OrderFlight is the longest time from the check of the permission to the arrival of
	// the order at its target: the time limit of the exchange, and one retransmission on
	// a link that loses packets.
	OrderFlight = 500 * time.Millisecond
	// clockMargin covers the difference between the rates of two VMs' clocks.
	clockMargin = 100 * time.Millisecond
	// ConfirmInterval is the time between two confirmations of the ownership.
	ConfirmInterval = 300 * time.Millisecond
)

// Permission is the permission of a group's owner to order the group's targets. It is
// valid for permissionTime from the time at which the last call to the store that
// confirmed the ownership was sent. The next owner waits for longer than that before
// its first order, so orders of two owners never overlap, even if the targets do not
// check fencing tokens.
//
// Its clock must not stop while the process or the VM is paused. The zero Permission
// is not valid.
type Permission struct {
	validUntil Time
	confirmed  bool
}

// Confirm records that the store confirmed the ownership by its answer to a call that
// was sent at a time.
func (p *Permission) Confirm(sentAt Time) {
	p.validUntil, p.confirmed = max(p.validUntil, sentAt+permissionTime), true
}

// AllowsOrder reports whether an order that is sent now reaches its target while the
// permission is valid.
func (p *Permission) AllowsOrder(now Time) bool {
	return p.confirmed && now+OrderFlight <= p.validUntil
}

// ExpiredFor returns the time since which no order has been allowed, 0 if one is allowed
// now or the ownership was never confirmed.
func (p *Permission) ExpiredFor(now Time) time.Duration {
	if !p.confirmed {
		return 0
	}
	return max(0, now+OrderFlight-p.validUntil)
}

// OrdersFrom returns the time from which this VM, as owner, may order: when all orders of
// earlier owners have reached their targets. It is only meaningful while Owns is true.
func (m *StateMachine) OrdersFrom() Time { return m.ordersFrom }

// afterPredecessor returns the time from which a new owner may order, given the record
// that it replaced.
func (m *StateMachine) afterPredecessor(now Time, previous Record, existed bool) Time {
	wait := permissionTime + clockMargin
	switch {
	case m.self.TargetsCheckFences || !existed:
		return now
	case previous.Settled && (previous.Released || previous.Owner == m.self.VM):
		return now // the last orders arrived before the release, or an earlier process of this VM sent them
	case previous.Released:
		return max(now, m.ownershipChangedAt+wait)
	case previous.Challenged > previous.Answered:
		// The challenge was not answered, so no earlier owner has been confirmed since.
		return max(now, m.challengeSeenAt+wait)
	}
	return now + wait
}

// PredecessorStopped records that the owner of an epoch told this VM, its successor, that
// it has stopped and that its last order reaches its target within a time.
func (m *StateMachine) PredecessorStopped(now Time, epoch int64, within time.Duration) {
	if m.Owns() && m.record.Epoch == epoch+1 && m.predecessorSettled {
		m.ordersFrom = min(m.ordersFrom, now+within)
	}
}

// Confirms reports whether a record read from the store confirms that this VM owns the
// group in the epoch. An unanswered challenge revokes the permission, because the
// challenger counts from it.
func (m *StateMachine) Confirms(r Record, epoch int64) bool {
	return r.Epoch == epoch && r.Owner == m.self.VM && r.Incarnation == m.self.Incarnation && !r.Released && r.Challenged <= r.Answered
}
