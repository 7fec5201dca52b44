// Package tenure decides which VM owns a target group. It performs no I/O and
// reads no clock: the caller passes the current time with each input and carries
// out the returned actions.
//
// Each group has one object in the platform's store. A VM takes the group over by
// a conditional write that fails if the object has changed. The write increments
// the epoch, which is the fencing token of all orders to the group's targets.
// A VM that gets no response from the owner writes a challenge to the object, and the
// owner keeps the group by writing an answer there. An owner that is paused, dead or
// cut off from the store does not answer. An owner that receives no more calls from
// other VMs releases the group.
//
// Targets that check fencing tokens refuse the orders of a replaced owner. For the
// others, an owner has a Permission that expires unless the store confirms the
// ownership, and the next owner sends its first order when the permission of its
// predecessor has expired, or when the predecessor has said that it has stopped. While
// nobody can reach the store, the owner goes on if all VMs that call it have promised not
// to order meanwhile.
//
// A store that is restored from a copy loses takeovers that it has acknowledged, and its
// conditional writes do not tell a restored object from a lost one with the same revision.
// The group therefore has an object of its own in each era of the store, and the epochs of an
// era are greater than those of all earlier eras. A record of an earlier era only tells who
// owned the group last. That owner goes on by taking the group over in the new era; other VMs
// give it some time to do so.
//
// Invariants:
//   - the epoch of a group increases with each takeover, and no two takeovers have the same
//     epoch, whatever the store has lost;
//   - an owner stops acting when it learns of an epoch newer than its own;
//   - no order of an owner reaches a target after one of a later owner, unless the
//     targets check fencing tokens;
//   - a VM that lost a group does not take it over again until all other VMs have
//     had the chance to do so for longer than a lease.
package tenure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadaslip/internal/objectstore"
)

// Time is the time elapsed since an arbitrary start point.
type Time = time.Duration

// Record is the content of a group's object in the store.
type Record struct {
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"` // address of the owner for calls from peers
	Epoch       int64  `json:"epoch"`
	Released    bool   `json:"released,omitempty"`
	Challenged  uint64 `json:"challenged,omitempty"` // number of the last challenge
	Answered    uint64 `json:"answered,omitempty"`   // number of the last challenge that the owner answered
	Closed      bool   `json:"closed,omitempty"`     // if Released: all orders of this and earlier owners have arrived
	Reliant     int64  `json:"reliant,omitempty"`    // newest epoch whose owner may rely on promises, 0 if none
	// Past holds the VMs that owned the group before Owner, the last one first, at most
	// maxPast of them.
	Past []string `json:"past,omitempty"`
}

// Action is what a VM should do about a group.
type Action string

// The actions, of which NoAction means that there is nothing to do.
const (
	NoAction  Action = ""
	TakeOver  Action = "take_over"
	Challenge Action = "challenge"
	Answer    Action = "answer"
	Release   Action = "release"
	Settle    Action = "settle"
)

const (
	// suspectAfter is how long calls to an owner must fail before it is challenged.
	// An owner that does not respond is called several times a second.
	suspectAfter = 400 * time.Millisecond
	// answerTimeout is how long an owner has to answer a challenge. The challenge
	// usually reaches the owner, and its write completes, within a few milliseconds;
	// both take longer while the store is slow.
	answerTimeout = 500 * time.Millisecond
	// answerValidity is how long after an answer the owner is neither challenged nor
	// replaced because calls to it fail.
	answerValidity = 2500 * time.Millisecond
	// unheardWait is added to the waits of a VM to which the owner has not replied
	// recently.
	unheardWait = 1500 * time.Millisecond
	// maxPast is the number of past owners that are recorded. No more own a group within
	// a lease.
	maxPast = 4
	// settleAfter is how long an owner that may order waits before it may also rely on
	// promises. By then all VMs have called it.
	settleAfter = time.Second
	// isolatedAfter is how long an owner that has been called by other VMs may go
	// without such a call before it releases the group.
	isolatedAfter = 2 * time.Second
	// maxJitterDelay is the largest per-VM delay that is added to the waits, so that
	// few VMs write at the same time.
	maxJitterDelay = 700 * time.Millisecond
	// leaseMargin is added to the lease before a VM takes over a group again that it
	// lost, because orders that were sent earlier need some time to arrive.
	leaseMargin = 500 * time.Millisecond
	// DefaultLease is the lease if the deployment sets none.
	DefaultLease = 3 * time.Second
	// storeLostWait is how long an owner may be unable to reach the store, while
	// other VMs can, before it is replaced.
	storeLostWait = 300 * time.Millisecond
	// restoreWait is how long other VMs leave a group to its last owner after they have seen
	// that the store was restored. The owner sees it with its next call to the store, at the
	// latest when its watch is cut and repeated.
	restoreWait = 2 * time.Second
	// epochsPerEra is the number of epochs of one era of the store.
	epochsPerEra = 1_000_000_000
	// outageWait is how long an owner may take to reach the store again after another VM
	// does, at the end of an outage for both. Each repeats its calls after up to 1.5 s.
	outageWait = 2 * time.Second
)

// firstEpoch returns the first epoch of an era of the store.
func firstEpoch(era int64) int64 { return max(era, objectstore.FirstEra)*epochsPerEra + 1 }

// OfEra reports whether a record was first written in an era of the store.
func OfEra(r Record, era int64) bool {
	return r.Epoch >= firstEpoch(era) && !OfLaterEra(r, era)
}

// OfLaterEra reports whether a record can't have been written by an era of the store.
func OfLaterEra(r Record, era int64) bool {
	return r.Epoch >= firstEpoch(max(era, objectstore.FirstEra)+1)
}

// IsFirst reports whether no VM can have owned the group before the owner of an epoch, as far
// as the store tells.
func IsFirst(epoch int64) bool {
	return epoch == firstEpoch(objectstore.FirstEra) || epoch == firstEpoch(objectstore.LastInitialEra)
}

// Candidate describes this VM as a candidate for the ownership of one group.
type Candidate struct {
	VM          string
	Incarnation uint64
	Jitter      float64 // fraction of the maximum jitter delay, 0 to 1.5, specific to this VM and group
	// Lease is the minimum time before a VM that lost the group may own it again,
	// DefaultLease if it is not positive.
	Lease     time.Duration
	StartedAt Time // when this process was started
	// TargetsCheckFences is set if the targets refuse orders of replaced owners.
	TargetsCheckFences bool
	// FirstStart is set if the whole deployment starts for the first time, so that nobody
	// owned the group before.
	FirstStart bool
}

// StateMachine tracks the ownership of one group from the view of one VM. It is not
// safe for concurrent use.
type StateMachine struct {
	self       Candidate
	record     Record // newest one that is known; if the store was restored since, it may lack it
	exists     bool   // there is such a record
	recordRead bool   // the record was read from the store, or found not to exist there
	stored     bool   // the store has an object of its current era, so that writes replace it
	era        int64  // of the store, as last seen
	eraKnown   bool   // era was seen
	restored   bool   // the store had an earlier era
	eraSeenAt  Time   // when this VM saw that the era began, or started in it

	ownershipChangedAt Time // when the epoch, release or existence of the record last changed
	unresponsive       bool // the last call to the owner failed
	unresponsiveSince  Time
	challengeSeenAt    Time // when the newest unanswered challenge was seen
	answerSeenAt       Time // when the owner's newest answer was seen
	answerSeen         bool
	storeLostSince     Time
	storeLost          bool
	reachable          bool // this VM can reach the store
	reachableSince     Time // later by the length of each interruption that was no outage
	lostAt             Time // when this VM last could not reach the store any more
	regainedAt         Time // when it last could again
	ownershipLost      bool
	ownershipLostAt    Time
	peerSeenAt         Time           // as owner: last call from another VM
	peerSeen           bool           // as owner: another VM has called
	heardAt            map[int64]Time // when the owner of an epoch last replied to this VM, for recent epochs
	promisedUntil      Time           // this VM has promised an owner not to order before
	ordersFrom         Time           // as owner: when the orders of earlier owners have arrived
	confirmedEpoch     int64          // as owner: the epoch that the store last confirmed, 0 if none
	confirmedAt        Time           // when the call for that was sent
	releasing          bool           // as owner: a release was begun and is repeated until the record shows it
	closed             bool           // as owner: all orders of earlier owners had arrived when the release was begun
}

// New returns a state machine that has no information about the group yet.
func New(self Candidate) *StateMachine {
	if self.Lease <= 0 {
		self.Lease = DefaultLease
	}
	return &StateMachine{self: self, heardAt: map[int64]Time{}}
}

// Record returns the newest record, and whether there is one.
func (m *StateMachine) Record() (Record, bool) { return m.record, m.exists }

// Stored reports whether the group has an object of the current era of the store.
func (m *StateMachine) Stored() bool { return m.stored }

// Era returns the current era of the store.
func (m *StateMachine) Era() int64 { return m.era }

// Confirmed reports whether the newest record is of the current era of the store, so that its
// epoch belongs to nobody else.
func (m *StateMachine) Confirmed() bool { return m.exists && OfEra(m.record, m.era) }

// Owns reports whether this incarnation of the VM is the owner in the newest record
// and has not released the group. The ownership may be one that a restored store lacks.
func (m *StateMachine) Owns() bool {
	return m.exists && !m.record.Released && m.record.Owner == m.self.VM && m.record.Incarnation == m.self.Incarnation
}

// SetJitter replaces the fraction of the maximum jitter delay.
func (m *StateMachine) SetJitter(jitter float64) { m.self.Jitter = jitter }

// Restored reports whether the store is known to have been restored from a copy, so that it may
// have lost records. In the era LastInitialEra only an earlier one that was seen or that has
// left its records shows it.
func (m *StateMachine) Restored() bool { return m.restored || m.era > objectstore.LastInitialEra }

// MayBeRestored reports whether the store may have lost records. It is true for a VM that knows
// of no era before LastInitialEra: a store that counts its eras from FirstEra was restored then,
// and the copy may be from before the first takeover of the group.
func (m *StateMachine) MayBeRestored() bool {
	return m.Restored() || m.era > objectstore.FirstEra && !m.self.FirstStart
}

// EnterEra records the era of the store that this VM first saw at a time. It is called for a
// group that becomes known later.
func (m *StateMachine) EnterEra(seenAt Time, era int64) { m.enterEra(seenAt, era) }

// enterEra records the era of the store in which something was read.
func (m *StateMachine) enterEra(now Time, era int64) {
	m.restored = m.restored || m.eraKnown && era > m.era
	m.eraKnown = true
	if era > m.era {
		m.era, m.eraSeenAt = era, now
		m.stored = m.stored && m.Confirmed()
	}
}

// SetAbsent records that the group has no object of an era of the store.
func (m *StateMachine) SetAbsent(now Time, era int64) {
	m.enterEra(now, era)
	m.stored = false
	if m.exists && !m.Confirmed() {
		return // lost with a restore
	}
	if !m.recordRead || m.exists {
		m.ownershipChangedAt = now
	}
	m.recordRead, m.exists, m.record = true, false, Record{Epoch: m.record.Epoch}
}

// SetRecord sets the record that was read from or written to an object of the group in an era
// of the store. Records older than the current one are ignored.
func (m *StateMachine) SetRecord(now Time, r Record, era int64) {
	m.enterEra(now, era)
	m.restored = m.restored || r.Epoch < firstEpoch(m.era)
	m.stored = m.stored || OfEra(r, m.era)
	if m.exists && older(r, m.record) || !OfEra(r, m.era) && r.Epoch < m.record.Epoch {
		return
	}
	old := m.record
	wasOwner := m.exists && old.Owner == m.self.VM && old.Incarnation == m.self.Incarnation
	changed := !m.exists || r.Epoch != old.Epoch || r.Released != old.Released
	existed := m.exists
	m.recordRead, m.exists, m.record = true, true, r
	if changed && m.Owns() {
		m.ordersFrom = m.afterPredecessor(now, old, existed)
	}
	if changed {
		m.ownershipChangedAt, m.unresponsive, m.storeLost, m.answerSeen, m.peerSeen = now, false, false, false, false
		m.releasing = false
		oldest := cmp.Or(r.Reliant, r.Epoch)
		maps.DeleteFunc(m.heardAt, func(epoch int64, _ Time) bool { return epoch < oldest })
	}
	if r.Challenged > r.Answered && (changed || r.Challenged > old.Challenged) {
		m.challengeSeenAt = now
	}
	if r.Answered > old.Answered && !changed {
		m.answerSeen, m.answerSeenAt = true, now
	}
	if wasOwner && changed && !m.Owns() {
		m.ownershipLost, m.ownershipLostAt = true, now // also if another VM takes over a group that this VM released
	}
}

// older reports whether a record precedes another one, by what it says of the ownership.
func older(r, other Record) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch < other.Epoch
	}
	return r.Challenged < other.Challenged || other.Released && !r.Released
}

// OwnerResponded records that the owner responded to a call. If storeLost is true,
// the owner reported that it cannot reach the store.
func (m *StateMachine) OwnerResponded(now Time, storeLost bool) {
	m.unresponsive, m.heardAt[m.record.Epoch] = false, now
	if storeLost && !m.storeLost {
		m.storeLostSince = now
	}
	m.storeLost = storeLost
}

// OwnerCallFailed records that the owner did not respond to a call.
func (m *StateMachine) OwnerCallFailed(now Time) {
	if !m.unresponsive {
		m.unresponsive, m.unresponsiveSince = true, now
	}
}

// PeerCalled records that this VM, as owner, received a call from another VM.
func (m *StateMachine) PeerCalled(now Time) { m.peerSeen, m.peerSeenAt = true, now }

// Isolated reports whether this VM owns the group and no longer receives calls from
// other VMs, although it did earlier.
func (m *StateMachine) Isolated(now Time) bool {
	return m.Owns() && m.peerSeen && now-m.peerSeenAt > isolatedAfter
}

// BeginRelease records that this VM, as owner, releases the group and has stopped its
// orders. A release without an answer may still take effect, so there is no way back.
func (m *StateMachine) BeginRelease(now Time) {
	m.releasing, m.closed = m.Owns(), now >= m.ordersFrom
}

// NextAction returns the action that is due now. It returns NoAction unless
// storeReachable says that this VM can reach the store.
func (m *StateMachine) NextAction(now Time, storeReachable bool) Action {
	m.trackReachability(now, storeReachable)
	switch {
	case !m.recordRead || !storeReachable:
		return NoAction
	case m.exists && !m.Confirmed():
		return m.nextAfterRestore(now)
	case m.Owns():
		return m.nextAsOwner(now)
	case m.exists && m.record.Owner == m.self.VM && m.record.Incarnation < m.self.Incarnation:
		return TakeOver // the owner was an earlier process on this VM
	case m.ownershipLost && now-m.ownershipLostAt < m.self.Lease+leaseMargin, m.ownedBeforeStart(now):
		return NoAction
	case !m.exists && m.Restored():
		return m.takeOverAfter(now, m.ownershipChangedAt, restoreWait) // there may be an owner whose record is lost
	case !m.exists && m.MayBeRestored() && now-m.eraSeenAt < restoreWait:
		return NoAction // likewise, if the store was restored just before this VM started
	case !m.exists || m.record.Released:
		return m.takeOverAfter(now, m.ownershipChangedAt, 0)
	case m.storeLost && m.regainedAt > m.storeLostSince:
		return m.takeOverAfter(now, max(m.reachableSince, m.storeLostSince), outageWait)
	case m.storeLost:
		return m.takeOverAfter(now, m.storeLostSince, storeLostWait)
	case m.answerSeen && now-m.answerSeenAt < answerValidity:
		return NoAction
	case m.record.Challenged > m.record.Answered:
		if !m.unresponsive {
			return NoAction // the owner responds to this VM
		}
		return m.takeOverAfter(now, m.challengeSeenAt, answerTimeout+m.unheardDelay(now))
	case m.unresponsive && now-m.unresponsiveSince > suspectAfter+m.jitterDelay()/2+m.unheardDelay(now):
		return Challenge
	}
	return NoAction
}

// trackReachability records whether this VM can reach the store. A store that refuses single
// calls must not make the wait for its owner begin anew with each of them.
func (m *StateMachine) trackReachability(now Time, reachable bool) {
	switch {
	case !reachable && m.reachable:
		m.lostAt = now
	case reachable && !m.reachable:
		m.regainedAt = now
		if m.reachableSince += now - m.lostAt; now-m.lostAt > storeLostWait {
			m.reachableSince = now
		}
	}
	m.reachable = reachable
}

// nextAfterRestore returns the action while the newest record is of an earlier era.
func (m *StateMachine) nextAfterRestore(now Time) Action {
	switch {
	case m.Owns() && !m.releasing && !m.Isolated(now):
		return TakeOver
	case m.Owns(), m.ownershipLost && now-m.ownershipLostAt < m.self.Lease+leaseMargin, m.startedWithinLease(now):
		return NoAction
	}
	return m.takeOverAfter(now, m.eraSeenAt, restoreWait)
}

// startedWithinLease reports whether an earlier process of this VM may have ordered within
// the lease. The copy of a restored store need not name it among the past owners.
func (m *StateMachine) startedWithinLease(now Time) bool {
	return !m.self.TargetsCheckFences && !m.ownershipLost && now-m.self.StartedAt < m.self.Lease+leaseMargin
}

func (m *StateMachine) nextAsOwner(now Time) Action {
	switch {
	case m.releasing || m.Isolated(now):
		return Release
	case m.record.Challenged > m.record.Answered:
		return Answer
	case m.record.Reliant != m.record.Epoch && !m.self.TargetsCheckFences && now >= m.ordersFrom+settleAfter:
		return Settle
	}
	return NoAction
}

func (m *StateMachine) takeOverAfter(now, since Time, wait time.Duration) Action {
	if now-since >= wait+m.jitterDelay() {
		return TakeOver
	}
	return NoAction
}

// ownedBeforeStart reports whether an earlier process of this VM owned the group and may
// have ordered within the lease.
func (m *StateMachine) ownedBeforeStart(now Time) bool {
	return slices.Contains(m.record.Past, m.self.VM) && m.startedWithinLease(now)
}

// pastOwners returns the past owners of a record after a takeover.
func pastOwners(r Record) []string {
	if r.Owner == "" {
		return nil
	}
	past := append([]string{r.Owner}, slices.DeleteFunc(slices.Clone(r.Past), func(vm string) bool { return vm == r.Owner })...)
	return past[:min(len(past), maxPast)]
}

// unheardDelay is the additional delay of a VM to which the owner has not replied. It would
// have to wait longer before its first order.
func (m *StateMachine) unheardDelay(now Time) time.Duration {
	if m.self.TargetsCheckFences || m.heard(now, m.record.Reliant) {
		return 0
	}
	return unheardWait
}

func (m *StateMachine) jitterDelay() time.Duration {
	return time.Duration(m.self.Jitter * float64(maxJitterDelay))
}

// RecordAfter returns the record to write for an action. The address is that of this
// VM, which TakeOver stores for its peers.
func (m *StateMachine) RecordAfter(action Action, address string) Record {
	r := m.record
	switch action {
	case TakeOver:
		return Record{
			Owner: m.self.VM, Incarnation: m.self.Incarnation, Address: address, Epoch: max(r.Epoch+1, firstEpoch(m.era)),
			Challenged: r.Challenged, Answered: r.Challenged,
			Reliant: r.Reliant, Past: pastOwners(r),
		}
	case Challenge:
		r.Challenged++
	case Answer:
		r.Answered = r.Challenged
	case Release:
		r.Released, r.Closed = true, m.closed
		if r.Closed {
			r.Reliant = 0
		}
	case Settle:
		r.Reliant = r.Epoch
	case NoAction:
	}
	return r
}
