package membership

import (
	"sort"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// State is the liveness of one incarnation of a VM.
type State string

// States of an incarnation.
const (
	Alive       State = "alive"
	Suspect     State = "suspect"
	Unreachable State = "unreachable"
	Gone        State = "gone"
)

// Defaults of the settings.
const (
	DefaultSuspectAfter     = time.Second
	DefaultUnreachableAfter = 3 * time.Second
	DefaultListLag          = time.Minute
	// goneRetention is how long a gone incarnation is remembered after its
	// registration and its place in the list have ended.
	goneRetention = time.Hour
)

// Settings are the times of the table. Zero fields take the defaults.
type Settings struct {
	SuspectAfter     time.Duration // silence until suspect, default 1 s
	UnreachableAfter time.Duration // silence until unreachable, default 3 s
	ListLag          time.Duration // the platform's list is at most this old, default 1 min
}

func (s Settings) withDefaults() Settings {
	if s.SuspectAfter <= 0 {
		s.SuspectAfter = DefaultSuspectAfter
	}
	if s.UnreachableAfter <= 0 {
		s.UnreachableAfter = DefaultUnreachableAfter
	}
	if s.ListLag <= 0 {
		s.ListLag = DefaultListLag
	}
	return s
}

// Entry is what the table shows of one incarnation.
type Entry struct {
	VM         model.VM // without addresses while Registered is false
	State      State
	Registered bool // this incarnation is the registered one
	Leaving    bool // the platform announced that the VM leaves
	HearsUs    bool // it acknowledges the heartbeats of this VM
	Digest     rpcapi.Digest
}

// Holder returns the identity of the incarnation.
func (e Entry) Holder() model.Holder {
	return model.Holder{VM: e.VM.Name, Incarnation: e.VM.Incarnation}
}

// Transition is a change of an incarnation's state.
type Transition struct {
	Holder   model.Holder
	From, To State
}

type row struct {
	Entry
	firstSeen  core.Time
	heardAt    core.Time
	heard      bool
	ackedAt    core.Time // when an acknowledgement last advanced
	acked      uint64
	listed     bool
	everListed bool
	goneAt     core.Time
}

// Table holds the VMs. It is not safe for concurrent use.
type Table struct {
	settings   Settings
	self       model.Holder
	rows       map[model.Holder]*row
	registered map[string]model.VM
	newest     map[string]model.Incarnation // heard, by VM
	eligible   []model.VM                   // for duties, as of the last Advance
	haveList   bool
	groups     map[string]GroupView
	refused    uint64
}

// New returns a table with this process's own VM, which is alive and not ready.
func New(now core.Time, self model.VM, settings Settings) *Table {
	t := &Table{
		settings: settings.withDefaults(), self: model.Holder{VM: self.Name, Incarnation: self.Incarnation},
		rows: map[model.Holder]*row{}, registered: map[string]model.VM{},
		newest: map[string]model.Incarnation{}, groups: map[string]GroupView{},
	}
	r := t.row(now, t.self)
	r.VM, r.State = self, Alive
	return t
}

// row returns the row of an incarnation, which is suspect when it is new.
func (t *Table) row(now core.Time, holder model.Holder) *row {
	if r := t.rows[holder]; r != nil {
		return r
	}
	r := &row{firstSeen: now, Entry: Entry{
		VM: model.VM{Name: holder.VM, Incarnation: holder.Incarnation}, State: Suspect,
	}}
	t.rows[holder] = r
	return r
}

// SetSelf states what this VM's heartbeats tell about it.
func (t *Table) SetSelf(digest rpcapi.Digest) {
	digest.From = t.self
	t.rows[t.self].Digest = digest
}

// SetRegistrations replaces the registrations with the store's. A VM that is
// missing keeps its rows; a lower incarnation than the known one is a stale
// read and is ignored.
func (t *Table) SetRegistrations(now core.Time, vms []model.VM) {
	registered := make(map[string]model.VM, len(vms))
	for _, vm := range vms {
		if known, ok := t.registered[vm.Name]; ok && known.Incarnation > vm.Incarnation {
			vm = known
		}
		registered[vm.Name] = vm
		t.row(now, model.Holder{VM: vm.Name, Incarnation: vm.Incarnation}).VM = vm
	}
	t.registered = registered
}

// SetListing replaces the platform's list.
func (t *Table) SetListing(vms []model.ListedVM) {
	t.haveList = true
	leaving := make(map[string]bool, len(vms))
	for _, vm := range vms {
		leaving[vm.Name] = vm.Leaving
	}
	for holder, r := range t.rows {
		_, r.listed = leaving[holder.VM]
		r.Leaving = leaving[holder.VM]
		r.everListed = r.everListed || r.listed
	}
}

// Track enters an incarnation that was found in stored state, so that its
// liveness becomes known.
func (t *Table) Track(now core.Time, holder model.Holder) { t.row(now, holder) }

// Heartbeat enters a digest. It fails with errs.StaleEpoch for an incarnation
// that is gone or older than the registered or a heard one.
func (t *Table) Heartbeat(now core.Time, digest rpcapi.Digest) error {
	if digest.From == t.self {
		return nil
	}
	if t.outdated(digest.From) {
		t.refused++
		return errs.New(errs.StaleEpoch, "heartbeat of an old incarnation of "+digest.From.VM)
	}
	r := t.row(now, digest.From)
	if !r.Registered {
		r.VM.DataCentre = digest.DataCentre
	}
	if !r.heard {
		// The acknowledgements start to count when the VM is first heard.
		r.heard, r.ackedAt = true, now
	}
	if digest.Heard.Incarnation == t.self.Incarnation && digest.Heard.Sequence > r.acked {
		r.acked, r.ackedAt = digest.Heard.Sequence, now
	}
	r.heardAt, r.Digest = now, digest
	t.newest[digest.From.VM] = digest.From.Incarnation
	t.enterGroups(now, digest)
	return nil
}

// Refused returns the number of heartbeats that were refused.
func (t *Table) Refused() uint64 { return t.refused }

// outdated reports whether an incarnation must not be heard any more.
func (t *Table) outdated(holder model.Holder) bool {
	if r := t.rows[holder]; r != nil && r.State == Gone {
		return true
	}
	return max(t.registered[holder.VM].Incarnation, t.newest[holder.VM]) > holder.Incarnation
}

// Advance computes all states at a time and returns the transitions, in the
// order of names and incarnations.
func (t *Table) Advance(now core.Time) []Transition {
	var transitions []Transition
	for _, holder := range t.holders() {
		r := t.rows[holder]
		r.Registered = t.registered[holder.VM].Incarnation == holder.Incarnation
		next := t.state(now, holder, r)
		if next != r.State {
			transitions = append(transitions, Transition{Holder: holder, From: r.State, To: next})
		}
		if next == Gone && r.State != Gone {
			r.goneAt = now
		}
		r.State = next
		if t.forgettable(now, holder, r) {
			t.forget(holder)
		}
	}
	t.eligible = t.bestTier()
	t.expireGroups(now)
	return transitions
}

// holders returns the keys of the table in order.
func (t *Table) holders() []model.Holder {
	holders := make([]model.Holder, 0, len(t.rows))
	for holder := range t.rows {
		holders = append(holders, holder)
	}
	sort.Slice(holders, func(i, j int) bool {
		if holders[i].VM != holders[j].VM {
			return holders[i].VM < holders[j].VM
		}
		return holders[i].Incarnation < holders[j].Incarnation
	})
	return holders
}

func (t *Table) forgettable(now core.Time, holder model.Holder, r *row) bool {
	return r.State == Gone && holder != t.self && !r.Registered && !r.listed && now-r.goneAt >= goneRetention
}

func (t *Table) forget(holder model.Holder) {
	delete(t.rows, holder)
	if t.newest[holder.VM] == holder.Incarnation {
		delete(t.newest, holder.VM)
	}
}
