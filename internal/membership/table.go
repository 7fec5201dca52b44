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

// Defaults of the fields of Settings.
const (
	DefaultSuspectAfter     = time.Second
	DefaultUnreachableAfter = 3 * time.Second
	DefaultListLag          = time.Minute
	// goneRetention is how long a gone incarnation stays in the table at least. It
	// also stays as long as it is registered or its VM is in the platform's list.
	goneRetention = time.Hour
)

// Settings holds the time limits of the table. Zero fields take the defaults.
type Settings struct {
	SuspectAfter     time.Duration // time without heartbeats or new acknowledgements until suspect, default 1 s
	UnreachableAfter time.Duration // time without heartbeats or new acknowledgements until unreachable, default 3 s
	ListLag          time.Duration // greatest age of the platform's list, default 1 min
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

// Entry is the public state of one incarnation in the table.
type Entry struct {
	VM         model.VM // has no addresses before the incarnation is registered
	State      State
	Registered bool          // the registration of the VM is of this incarnation
	Leaving    bool          // the platform announced that it will remove the VM
	HearsUs    bool          // the incarnation acknowledges the heartbeats of this VM
	Digest     rpcapi.Digest // last received heartbeat; for this VM itself, the last SetSelf
}

// Holder returns the identity of the incarnation.
func (e Entry) Holder() model.Holder {
	return model.Holder{VM: e.VM.Name, Incarnation: e.VM.Incarnation}
}

// Transition is a change of the state of an incarnation.
type Transition struct {
	Holder   model.Holder
	From, To State
}

// row is the full state of one incarnation in the table.
type row struct {
	Entry
	firstSeen     core.Time // when the row was added
	heartbeatAt   core.Time // when the last heartbeat was received
	hasHeartbeat  bool      // a heartbeat has been received
	ackedAt       core.Time // when ackedSequence last increased, or the first heartbeat was received
	ackedSequence uint64    // greatest sequence of this VM's heartbeats that it acknowledged
	listed        bool      // the VM is in the platform's list
	everListed    bool      // the VM has been in the platform's list before
	goneAt        core.Time // when the state became Gone
}

// Table holds the known incarnations of VMs, including this process's own. It is not
// safe for concurrent use.
type Table struct {
	settings          Settings
	self              model.Holder
	rows              map[model.Holder]*row
	registered        map[string]model.VM          // registrations in the store, by name of the VM
	newestIncarnation map[string]model.Incarnation // incarnation of the last accepted heartbeat, by name of the VM
	eligible          []model.VM                   // VMs that can own duties, as of the last Advance
	hasListing        bool                         // SetListing has been called
	groups            map[string]GroupAnnouncement // by name of the group
	refusedHeartbeats uint64
}

// New returns a table with only this process's own VM, which is alive and not ready.
func New(now core.Time, self model.VM, settings Settings) *Table {
	t := &Table{
		settings: settings.withDefaults(), self: model.Holder{VM: self.Name, Incarnation: self.Incarnation},
		rows: map[model.Holder]*row{}, registered: map[string]model.VM{},
		newestIncarnation: map[string]model.Incarnation{}, groups: map[string]GroupAnnouncement{},
	}
	r := t.getOrAddRow(now, t.self)
	r.VM, r.State = self, Alive
	return t
}

// getOrAddRow returns the row of an incarnation. A row that it adds is suspect.
func (t *Table) getOrAddRow(now core.Time, holder model.Holder) *row {
	if r := t.rows[holder]; r != nil {
		return r
	}
	r := &row{firstSeen: now, Entry: Entry{
		VM: model.VM{Name: holder.VM, Incarnation: holder.Incarnation}, State: Suspect,
	}}
	t.rows[holder] = r
	return r
}

// SetSelf sets the digest that this VM sends in its heartbeats.
func (t *Table) SetSelf(digest rpcapi.Digest) {
	digest.From = t.self
	t.rows[t.self].Digest = digest
}

// SetRegistrations replaces the registrations with those read from the store. A VM
// without a registration keeps its rows. A registration with a lower incarnation
// than the previous one comes from a stale read and is ignored.
func (t *Table) SetRegistrations(now core.Time, vms []model.VM) {
	registered := make(map[string]model.VM, len(vms))
	for _, vm := range vms {
		if previous, ok := t.registered[vm.Name]; ok && previous.Incarnation > vm.Incarnation {
			vm = previous
		}
		registered[vm.Name] = vm
		t.getOrAddRow(now, model.Holder{VM: vm.Name, Incarnation: vm.Incarnation}).VM = vm
	}
	t.registered = registered
}

// SetListing applies the VMs of the platform's list to the rows of the table.
func (t *Table) SetListing(vms []model.ListedVM) {
	t.hasListing = true
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

// Track adds an incarnation that was found in stored state to the table, so that
// Advance determines its state.
func (t *Table) Track(now core.Time, holder model.Holder) { t.getOrAddRow(now, holder) }

// RecordHeartbeat records a received heartbeat. It fails with errs.StaleEpoch if the
// sending incarnation is gone, or older than the registered incarnation of the VM or
// one that sent a heartbeat before.
func (t *Table) RecordHeartbeat(now core.Time, digest rpcapi.Digest) error {
	if digest.From == t.self {
		return nil
	}
	if t.isSuperseded(digest.From) {
		t.refusedHeartbeats++
		return errs.New(errs.StaleEpoch, "heartbeat of a gone or superseded incarnation of VM "+digest.From.VM)
	}
	r := t.getOrAddRow(now, digest.From)
	if !r.Registered {
		r.VM.DataCentre = digest.DataCentre
	}
	if !r.hasHeartbeat {
		// Missing acknowledgements count from the first heartbeat of the incarnation.
		r.hasHeartbeat, r.ackedAt = true, now
	}
	if digest.Heard.Incarnation == t.self.Incarnation && digest.Heard.Sequence > r.ackedSequence {
		r.ackedSequence, r.ackedAt = digest.Heard.Sequence, now
	}
	r.heartbeatAt, r.Digest = now, digest
	t.newestIncarnation[digest.From.VM] = digest.From.Incarnation
	t.updateGroups(now, digest)
	return nil
}

// RefusedHeartbeats returns the number of heartbeats that RecordHeartbeat rejected.
func (t *Table) RefusedHeartbeats() uint64 { return t.refusedHeartbeats }

// isSuperseded reports whether an incarnation is gone, or older than the registered
// incarnation of the VM or the newest that sent a heartbeat.
func (t *Table) isSuperseded(holder model.Holder) bool {
	if r := t.rows[holder]; r != nil && r.State == Gone {
		return true
	}
	return max(t.registered[holder.VM].Incarnation, t.newestIncarnation[holder.VM]) > holder.Incarnation
}

// Advance computes the states of all incarnations at the time now and returns the
// changes of state, ordered by VM name and incarnation. It also drops expired group
// announcements and rows of incarnations that have been gone for long enough.
func (t *Table) Advance(now core.Time) []Transition {
	var transitions []Transition
	for _, holder := range t.holders() {
		r := t.rows[holder]
		r.Registered = t.registered[holder.VM].Incarnation == holder.Incarnation
		next := t.computeState(now, holder, r)
		if next != r.State {
			transitions = append(transitions, Transition{Holder: holder, From: r.State, To: next})
		}
		if next == Gone && r.State != Gone {
			r.goneAt = now
		}
		r.State = next
		if t.isRemovable(now, holder, r) {
			t.remove(holder)
		}
	}
	t.eligible = t.findEligible()
	t.expireGroups(now)
	return transitions
}

// holders returns the incarnations in the table, ordered by VM name and
// incarnation.
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

// isRemovable reports whether an incarnation other than this process's own has been
// gone for goneRetention and is neither registered nor in the platform's list.
func (t *Table) isRemovable(now core.Time, holder model.Holder, r *row) bool {
	return r.State == Gone && holder != t.self && !r.Registered && !r.listed && now-r.goneAt >= goneRetention
}

func (t *Table) remove(holder model.Holder) {
	delete(t.rows, holder)
	if t.newestIncarnation[holder.VM] == holder.Incarnation {
		delete(t.newestIncarnation, holder.VM)
	}
}
