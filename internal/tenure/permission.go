package tenure

import (
	"time"
)

const (
	// permissionTime is how long an owner may order after it sent the call to the store
	// that confirmed its ownership. It spans several confirmations, so that a slow answer
	// of the store or a broken connection does not interrupt the orders.
	permissionTime = 1500 * time.Millisecond
	// OrderFlight is the longest time from the check of the permission to the arrival of
	// the order at its target: the time limit of the exchange, and one retransmission on
	// a link that loses packets. Connections of orders are reset once the limit has passed
	// (package delivery), or the system would deliver the order whenever the link is back.
	OrderFlight = 500 * time.Millisecond
	// clockMargin covers the difference between the rates of two VMs' clocks.
	clockMargin = 100 * time.Millisecond
	// ConfirmInterval is the time between two confirmations of the ownership.
	ConfirmInterval = 500 * time.Millisecond
	// promiseTime is how long a promise of another VM lasts. It spans several calls to the
	// owner.
	promiseTime = 2500 * time.Millisecond
	// promisesAfter is the time since the last confirmation after which an owner asks for
	// promises.
	promisesAfter = 750 * time.Millisecond
	// overdueAfter is the time since the last confirmation after which an owner reports
	// that it cannot reach the store.
	overdueAfter = time.Second
	// maxReliance is how long after the last confirmation an owner may rely on promises.
	// VMs that it does not know wait for longer than that.
	maxReliance = 5 * time.Second
	// memberTime is the time since its last call after which a VM is no longer asked for
	// promises, and heardTime the time since the last reply within which a VM may assume
	// that it is. heardTime is shorter by more than the time limit of a call.
	memberTime = 13 * time.Second
	heardTime  = 11 * time.Second
)

// Permission is the permission of a group's owner to order the group's targets. It is
// valid for permissionTime from the time at which the last call to the store that
// confirmed the ownership was sent. While no call is answered, it is also valid as long
// as all VMs that call the owner have promised not to order before then, but not for
// longer than maxReliance. The next owner waits accordingly before its first order, so
// orders of two owners never overlap, even if the targets do not check fencing tokens.
//
// Its clock must not stop while the process or the VM is paused. The zero Permission
// is not valid.
type Permission struct {
	confirmedAt Time // when the last call that confirmed the ownership was sent
	confirmed   bool
	mayRely     bool              // on promises
	members     map[string]member // VMs that call the owner, by name
}

// member is a VM that calls the owner.
type member struct {
	incarnation   uint64 // of the process that called last
	calledAt      Time
	promisedUntil Time
}

// Promise is the promise of a VM to a group's owner not to order the group's targets for
// promiseTime. It counts from the owner's clock, as the owner stated it in its request.
type Promise struct {
	Given bool
	Stamp Time // time of the owner's request on the owner's clock
}

// Confirm records that the store confirmed the ownership by its answer to a call that
// was sent at a time, and whether the owner may rely on promises according to the record.
// It drops the VMs that have not called for a while.
func (p *Permission) Confirm(sentAt Time, mayRely bool) {
	p.confirmedAt, p.confirmed, p.mayRely = max(p.confirmedAt, sentAt), true, mayRely
	for vm, m := range p.members {
		if sentAt-m.calledAt > memberTime {
			delete(p.members, vm)
		}
	}
}

// ConfirmedAt returns when the last call to the store that confirmed the ownership was sent. It
// reports false if there was none.
func (p *Permission) ConfirmedAt() (at Time, confirmed bool) { return p.confirmedAt, p.confirmed }

// HandleCall records a call of a process on another VM, with its promise. A late call of an
// earlier process says nothing about the VM.
func (p *Permission) HandleCall(now Time, vm string, incarnation uint64, promise Promise) {
	if p.members == nil {
		p.members = map[string]member{}
	}
	m := p.members[vm]
	switch {
	case incarnation < m.incarnation:
		return
	case incarnation > m.incarnation:
		m = member{incarnation: incarnation}
	}
	m.calledAt = now
	if promise.Given {
		m.promisedUntil = max(m.promisedUntil, promise.Stamp+promiseTime)
	}
	p.members[vm] = m
}

// HandleLeave records that a process that called the owner will not take over any group
// until it ends. No promise of its VM is needed then: the owner has not replied to the
// next process there, which waits for longer than any reliance on promises.
func (p *Permission) HandleLeave(vm string, incarnation uint64) {
	if p.members[vm].incarnation <= incarnation {
		delete(p.members, vm)
	}
}

// NeedsPromises reports whether the owner is to ask the VMs that call it for promises.
func (p *Permission) NeedsPromises(now Time) bool {
	return p.mayRely && now-p.confirmedAt > promisesAfter
}

// Overdue reports whether the confirmation of the ownership is overdue.
func (p *Permission) Overdue(now Time) bool { return p.confirmed && now-p.confirmedAt > overdueAfter }

// AllowsOrder reports whether an order that is sent now reaches its target while the
// permission is valid.
func (p *Permission) AllowsOrder(now Time) bool {
	return p.confirmed && now+OrderFlight <= p.validUntil()
}

func (p *Permission) validUntil() Time {
	if !p.mayRely {
		return p.confirmedAt + permissionTime
	}
	byPromises := p.confirmedAt + maxReliance
	for _, m := range p.members {
		byPromises = min(byPromises, m.promisedUntil)
	}
	return max(p.confirmedAt+permissionTime, byPromises)
}

// ExpiredFor returns the time since which no order has been allowed, 0 if one is allowed
// now or the ownership was never confirmed.
func (p *Permission) ExpiredFor(now Time) time.Duration {
	if !p.confirmed {
		return 0
	}
	return max(0, now+OrderFlight-p.validUntil())
}

// OrdersFrom returns the time from which this VM, as owner, may order: when all orders of
// earlier owners have reached their targets. It is only meaningful while Owns is true.
func (m *StateMachine) OrdersFrom() Time { return m.ordersFrom }

// Promise records that this VM, asked by the owner, promises not to order.
func (m *StateMachine) Promise(now Time) { m.promisedUntil = max(m.promisedUntil, now+promiseTime) }

// afterPredecessor returns the time from which a new owner may order, given the record
// that it replaced.
func (m *StateMachine) afterPredecessor(now Time, previous Record, existed bool) Time {
	return max(m.afterRecorded(now, previous, existed), m.afterUnrecorded(now, previous, existed))
}

// afterUnrecorded returns the time by which the orders of owners have arrived whose takeover
// a restored store has lost. The store has confirmed none of them since its era began.
func (m *StateMachine) afterUnrecorded(now Time, previous Record, existed bool) Time {
	if m.self.TargetsCheckFences || !m.MayBeRestored() || existed && m.orderedInEra(previous) {
		return 0
	}
	reliant := m.eraSeenAt + maxReliance + clockMargin
	if existed && m.wasConfirmedShortlyBefore(previous) {
		// Without promises, the orders of a lost owner have arrived permissionTime after the era
		// began. If there was one, this VM may not order again within a lease.
		return min(reliant, max(m.eraSeenAt+permissionTime+clockMargin, now+m.self.Lease+leaseMargin))
	}
	return reliant
}

// wasConfirmedShortlyBefore reports whether the record is that of this owner, which the store
// confirmed so shortly before its era began that no later owner could rely on promises yet: it
// waits for permissionTime before its first order, and for settleAfter from then on.
func (m *StateMachine) wasConfirmedShortlyBefore(r Record) bool {
	return r.Owner == m.self.VM && r.Incarnation == m.self.Incarnation && !r.Released &&
		m.confirmedEpoch == r.Epoch && m.eraSeenAt-m.confirmedAt <= permissionTime+settleAfter
}

// OwnershipConfirmed records when the last call to the store was sent that confirmed the ownership
// of this VM in an epoch. The clock of the time must not have stopped since.
func (m *StateMachine) OwnershipConfirmed(epoch int64, sentAt Time) {
	m.confirmedEpoch, m.confirmedAt = epoch, sentAt
}

// orderedInEra reports whether a record shows that an owner of the current era could order, so
// that the orders of all owners of earlier eras had arrived.
func (m *StateMachine) orderedInEra(r Record) bool {
	return OfEra(r, m.era) && (r.Released && r.Closed || r.Reliant >= firstEpoch(m.era))
}

// afterRecorded is like afterPredecessor as far as the record tells.
func (m *StateMachine) afterRecorded(now Time, previous Record, existed bool) Time {
	wait := permissionTime + clockMargin
	if !m.heard(now, previous.Reliant) {
		// An earlier owner may rely on the promises of others, without one of this VM.
		wait = maxReliance + clockMargin
	}
	from := now + wait
	switch {
	case m.self.TargetsCheckFences || !existed || previous.Released && previous.Closed:
		return now
	case previous.Owner == m.self.VM && previous.Incarnation == m.self.Incarnation && !previous.Released:
		return max(now, m.ordersFrom) // this owner goes on after the store was restored
	case previous.Owner == m.self.VM && previous.Reliant == previous.Epoch:
		return max(now, m.self.StartedAt+OrderFlight) // an earlier process of this VM, which has ended
	case previous.Released:
		from = m.ownershipChangedAt + wait
	case previous.Challenged > previous.Answered:
		// The challenge was not answered, so no earlier owner has been confirmed since.
		from = m.challengeSeenAt + wait
	}
	return max(now, from, m.promisedUntil+clockMargin)
}

// heard reports whether the owner of an epoch has replied to this VM recently, so that it
// knows this VM and does not rely on promises without asking it. Nobody owns epoch 0.
func (m *StateMachine) heard(now Time, epoch int64) bool {
	at, found := m.heardAt[epoch]
	return epoch == 0 || found && now-at <= heardTime
}

// PredecessorStopped records that the owner of an epoch told this VM, its successor, that
// it has stopped and that all orders, its own and those of earlier owners, reach their
// targets within a time.
func (m *StateMachine) PredecessorStopped(now Time, epoch int64, within time.Duration) {
	if m.Owns() && m.record.Epoch == epoch+1 {
		m.ordersFrom = min(m.ordersFrom, now+within)
	}
}

// Confirms reports whether a record read from the store confirms that this VM owns the
// group in the epoch. An unanswered challenge revokes the permission, because the
// challenger counts from it.
func (m *StateMachine) Confirms(r Record, epoch int64) bool {
	return r.Epoch == epoch && OfEra(r, m.era) && r.Owner == m.self.VM && r.Incarnation == m.self.Incarnation && !r.Released && r.Challenged <= r.Answered
}
