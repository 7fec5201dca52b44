package daemon

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/membership"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// members guards the membership table and remembers the platform's list.
type members struct {
	d *Daemon

	mu        sync.Mutex
	table     *membership.Table
	addresses map[string]model.VM
	targets   map[string]model.Target
	listed    bool
	listedVMs map[string]bool
	heardAny  time.Time // last heartbeat of any peer

	silentSince map[model.Holder]core.Time
}

func newMembers(d *Daemon) *members {
	timing := d.settings.Membership
	return &members{
		d: d, addresses: map[string]model.VM{}, targets: map[string]model.Target{},
		silentSince: map[model.Holder]core.Time{},
		table: membership.New(d.now(), d.self, membership.Settings{
			SuspectAfter: timing.SuspectAfter, UnreachableAfter: timing.UnreachableAfter,
		}),
	}
}

func (m *members) setRegistrations(vms []model.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetRegistrations(m.d.now(), vms)
	for _, vm := range vms {
		m.addresses[vm.Name] = vm
	}
}

func (m *members) setListing(listing model.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
	m.table.SetListing(listing.VMs)
	m.listedVMs = listedNames(listing.VMs)
	m.targets = make(map[string]model.Target, len(listing.Targets))
	for _, target := range listing.Targets {
		m.targets[target.Name] = target
	}
}

func (m *members) targetGone(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, listed := m.targets[name]
	return m.listed && !listed
}

// Gone implements journal.Liveness.
func (m *members) Gone(holder model.Holder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Track(m.d.now(), holder)
	return m.table.IsGone(holder)
}

// address returns where a VM takes calls.
func (m *members) address(vm string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.addresses[vm]
	return known.PeerRPCAddr, ok
}

// dutyOwner returns the VM that should hold a duty.
func (m *members) dutyOwner(duty, dataCentre string) (model.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Owner(duty, dataCentre)
}

// foreignTakeoverAfter is the time for which a VM that is listed but silent
// keeps the right to its data centre's groups. When regions are cut from each
// other both sides still reach the store; without this time each would take the
// other's groups over.
const foreignTakeoverAfter = 30 * time.Second

// groupOwner returns the VM that should own a group. A VM of another data centre
// is chosen only when no VM of the group's data centre may be cut off.
func (m *members) groupOwner(group, dataCentre string) (model.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next, found := m.table.Owner("group/"+group, dataCentre)
	if !found || next.DataCentre == dataCentre {
		return next, found
	}
	for holder, since := range m.silentSince {
		if m.addresses[holder.VM].DataCentre == dataCentre && m.d.now()-since < foreignTakeoverAfter {
			return model.VM{}, false
		}
	}
	return next, true
}

// noteSilent keeps since when each incarnation is unreachable and not gone. The
// caller holds the lock.
func (m *members) noteSilent(transitions []membership.Transition) {
	for _, transition := range transitions {
		if transition.To == membership.Unreachable {
			m.silentSince[transition.Holder] = m.d.now()
		} else {
			delete(m.silentSince, transition.Holder)
		}
	}
}

// dataCentre returns the data centre of a VM.
func (m *members) dataCentre(holder model.Holder) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses[holder.VM].DataCentre
}

// newestConfig returns another VM that has announced the newest configuration.
// Among several one is drawn, so that not all VMs fetch it from the same one.
func (m *members) newestConfig() (model.Holder, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, holders := m.table.NewestConfig()
	holders = slices.DeleteFunc(holders, func(h model.Holder) bool { return h == m.d.holder() })
	if len(holders) == 0 {
		return model.Holder{}, false
	}
	return holders[rand.IntN(len(holders))], true
}

// alive returns the number of VMs that are reachable, this one included.
func (m *members) alive() int {
	count := 1
	for _, entry := range m.peers() {
		if entry.State.Reachable() {
			count++
		}
	}
	return count
}

// anyReadyPeer reports whether a reachable peer is ready.
func (m *members) anyReadyPeer() bool {
	for _, entry := range m.peers() {
		if entry.Digest.Ready && entry.State.Reachable() {
			return true
		}
	}
	return false
}

// watchesConfig reports whether this VM is one of the two of its data centre that
// watch the configuration in the store. The others hear of new versions by
// heartbeats, so that the store's read rate does not follow the number of VMs.
func (m *members) watchesConfig() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range m.table.RankedIn("config-watch", m.d.self.DataCentre, configWatchers) {
		if vm.Name == m.d.self.Name {
			return true
		}
	}
	return false
}

// configWatchers is the number of VMs of one data centre that watch the
// configuration: a second one covers the loss of the first.
const configWatchers = 2

// ranked returns up to n VMs for a duty, the owner first.
func (m *members) ranked(duty string, n int) []model.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Ranked(duty, n)
}

// serves reports whether a VM incarnation is reachable and not leaving.
func (m *members) serves(holder model.Holder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, known := m.table.Entry(holder)
	if !known {
		return false
	}
	return entry.State.Reachable() && entry.Registered && !entry.Digest.Draining && !entry.Leaving
}

func (m *members) peers() []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Peers()
}

func (m *members) entries() []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Entries()
}

// receive takes a heartbeat. It runs on the event loop of the heartbeats.
func (m *members) receive(digest rpcapi.Digest) {
	m.mu.Lock()
	err := m.table.RecordHeartbeat(m.d.now(), digest)
	if err == nil {
		m.heardAny = time.Now()
	}
	m.mu.Unlock()
	if err != nil {
		return
	}
	for _, g := range digest.Groups {
		m.d.table.ApplyDigest(digest.From, g)
	}
	m.d.follower.NotifyVersion(digest.ConfigVersion)
}

// heardWithin reports whether any peer was heard within a time.
func (m *members) heardWithin(limit time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.heardAny) < limit
}
