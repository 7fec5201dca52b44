// Package tenure decides which VM owns a target group. It is pure: the caller
// gives the time with each input and carries out the actions.
//
// A group has one object in the platform's store. Taking it over is a write under
// the condition that the object has not changed, and raises the epoch, which is
// the fencing token of all orders to the group's targets. There is no renewal:
// an owner that a VM no longer hears is challenged in the object itself, and
// keeps the group by answering there. An owner that is paused, dead or cut off
// from the store does not answer, and one that hears no other VM gives the group
// up.
//
// Invariants:
//   - epochs of a group rise with each takeover;
//   - an owner whose epoch is not the newest that it knows acts no more;
//   - a VM that lost a group does not take it again before all others had the
//     chance for longer than a lease.
package tenure

import "time"

// Time is the time since an arbitrary start.
type Time = time.Duration

// Record is the object of a group.
type Record struct {
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"` // of the owner, for peers
	Epoch       int64  `json:"epoch"`
	Released    bool   `json:"released,omitempty"`
	Challenged  uint64 `json:"challenged,omitempty"` // number of the last challenge
	Answered    uint64 `json:"answered,omitempty"`   // number of the last one that the owner answered
}

// Action is what a VM should do about a group.
type Action string

// Actions.
const (
	Nothing   Action = ""
	TakeOver  Action = "take_over"
	Challenge Action = "challenge"
	Answer    Action = "answer"
	Release   Action = "release"
)

const (
	// suspectAfter is the time for which calls to an owner get no answer after which
	// it is challenged. A silent owner is called several times a second.
	suspectAfter = 400 * time.Millisecond
	// answerWait is the time that an owner has to answer a challenge: a change
	// reaches it and a write returns within a few milliseconds, more while the
	// store is slow.
	answerWait = 500 * time.Millisecond
	// trustTime is the time for which an answer is believed.
	trustTime = 2500 * time.Millisecond
	// isolatedAfter is the time without any other VM after which an owner that
	// has heard some gives the group up.
	isolatedAfter = 2 * time.Second
	// spread is the greatest part of each VM's own in a delay, so that few race.
	spread = 700 * time.Millisecond
	// leaseMargin is added to the lease before a VM takes a group again that it lost:
	// an order takes some time to arrive.
	leaseMargin = 500 * time.Millisecond
	// DefaultLease is used where the deployment names none.
	DefaultLease = 3 * time.Second
	// blindWait is the time for which an owner cannot reach the store, while
	// others can, before it is replaced.
	blindWait = 300 * time.Millisecond
)

// Self is this VM as a candidate for one group.
type Self struct {
	VM          string
	Incarnation uint64
	Jitter      float64 // 0 to 1, this VM's own for this group
	// Lease is the time in which two owners must not take turns, default DefaultLease.
	Lease time.Duration
}

// Machine follows one group. It is not safe for concurrent use.
type Machine struct {
	self   Self
	record Record
	known  bool // the object or its absence was seen
	exists bool

	changedAt    Time // of owner or epoch
	missing      bool // calls to the owner get no answer
	missingSince Time
	challengedAt Time // when the open challenge was seen
	trustedAt    Time // when an answer was seen
	trusted      bool
	blindSince   Time
	blind        bool
	lost         bool
	lostAt       Time
	heardAt      Time // another VM, as owner
	heard        bool
}

// New returns a machine that knows nothing yet.
func New(self Self) *Machine {
	if self.Lease <= 0 {
		self.Lease = DefaultLease
	}
	return &Machine{self: self}
}

// Record returns the last record that was seen.
func (m *Machine) Record() (Record, bool) { return m.record, m.exists }

// Owns reports whether this incarnation is the owner in the last record.
func (m *Machine) Owns() bool {
	return m.exists && !m.record.Released && m.record.Owner == m.self.VM && m.record.Incarnation == m.self.Incarnation
}

// Absent tells that the group has no object.
func (m *Machine) Absent(now Time) {
	if !m.known || m.exists {
		m.changedAt = now
	}
	m.known, m.exists, m.record = true, false, Record{}
}

// SetRecord enters the group's object. Older ones are ignored.
func (m *Machine) SetRecord(now Time, r Record) {
	if m.exists && (r.Epoch < m.record.Epoch || r.Epoch == m.record.Epoch && r.Challenged < m.record.Challenged) {
		return
	}
	old := m.record
	held := m.exists && old.Owner == m.self.VM && old.Incarnation == m.self.Incarnation
	changed := !m.exists || r.Epoch != old.Epoch || r.Released != old.Released
	m.known, m.exists, m.record = true, true, r
	if changed {
		m.changedAt, m.missing, m.blind, m.trusted, m.heard = now, false, false, false, false
	}
	if r.Challenged > r.Answered && (changed || r.Challenged > old.Challenged) {
		m.challengedAt = now
	}
	if r.Answered > old.Answered && !changed {
		m.trusted, m.trustedAt = true, now
	}
	if held && changed && !m.Owns() {
		m.lost, m.lostAt = true, now // also when another takes what this VM released
	}
}

// Contact tells that the owner has answered a call, and whether it cannot reach
// the store.
func (m *Machine) Contact(now Time, blind bool) {
	m.missing = false
	if blind && !m.blind {
		m.blindSince = now
	}
	m.blind = blind
}

// Missed tells that a call to the owner got no answer.
func (m *Machine) Missed(now Time) {
	if !m.missing {
		m.missing, m.missingSince = true, now
	}
}

// Heard tells the owner that another VM has called.
func (m *Machine) Heard(now Time) { m.heard, m.heardAt = true, now }

// Isolated reports whether the owner has lost touch with all other VMs.
func (m *Machine) Isolated(now Time) bool {
	return m.Owns() && m.heard && now-m.heardAt > isolatedAfter
}

// Next returns what to do now. storeFine says that this VM reaches the store.
func (m *Machine) Next(now Time, storeFine bool) Action {
	switch {
	case !m.known || !storeFine:
		return Nothing
	case m.Owns():
		return m.nextAsOwner(now)
	case m.exists && m.record.Owner == m.self.VM && m.record.Incarnation < m.self.Incarnation:
		return TakeOver // the owner was this VM's former process
	case m.lost && now-m.lostAt < m.self.Lease+leaseMargin:
		return Nothing
	case !m.exists || m.record.Released:
		return m.takeAfter(now, m.changedAt, 0)
	case m.blind:
		return m.takeAfter(now, m.blindSince, blindWait)
	case m.trusted && now-m.trustedAt < trustTime:
		return Nothing
	case m.record.Challenged > m.record.Answered:
		if !m.missing {
			return Nothing // this VM hears it
		}
		return m.takeAfter(now, m.challengedAt, answerWait)
	case m.missing && now-m.missingSince > suspectAfter+m.delay()/2:
		return Challenge
	}
	return Nothing
}

func (m *Machine) nextAsOwner(now Time) Action {
	switch {
	case m.Isolated(now):
		return Release
	case m.record.Challenged > m.record.Answered:
		return Answer
	}
	return Nothing
}

func (m *Machine) takeAfter(now, since Time, wait time.Duration) Action {
	if now-since >= wait+m.delay() {
		return TakeOver
	}
	return Nothing
}

func (m *Machine) delay() time.Duration {
	return time.Duration(m.self.Jitter * float64(spread))
}

// Apply returns the record that an action writes.
func (m *Machine) Apply(action Action, address string) Record {
	r := m.record
	switch action {
	case TakeOver:
		return Record{
			Owner: m.self.VM, Incarnation: m.self.Incarnation, Address: address, Epoch: r.Epoch + 1,
			Challenged: r.Challenged, Answered: r.Challenged,
		}
	case Challenge:
		r.Challenged++
	case Answer:
		r.Answered = r.Challenged
	case Release:
		r.Released = true
	case Nothing:
	}
	return r
}
