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

// members guards the membership table, and keeps the registrations of VMs and
// the contents of the platform's list.
type members struct {
	d *Daemon

	mu              sync.Mutex
	table           *membership.Table
	registrations   map[string]model.VM
	targets         map[string]model.Target
	listingRead     bool
	listedVMs       map[string]bool
	lastHeartbeatAt time.Time // arrival of the last heartbeat of any peer

	unreachableSince map[model.Holder]core.Time
}

func newMembers(d *Daemon) *members {
	timing := d.settings.Membership
	return &members{
		d: d, registrations: map[string]model.VM{}, targets: map[string]model.Target{},
		unreachableSince: map[model.Holder]core.Time{},
		table: membership.New(d.now(), d.self, membership.Settings{
			SuspectAfter: timing.SuspectAfter, UnreachableAfter: timing.UnreachableAfter,
		}),
	}
}

// setRegistrations updates the membership table and the registrations of VMs.
func (m *members) setRegistrations(vms []model.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetRegistrations(m.d.now(), vms)
	for _, vm := range vms {
		m.registrations[vm.Name] = vm
	}
}

// setListing replaces the VMs and targets of the platform's list.
func (m *members) setListing(listing model.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listingRead = true
	m.table.SetListing(listing.VMs)
	m.listedVMs = vmNames(listing.VMs)
	m.targets = make(map[string]model.Target, len(listing.Targets))
	for _, target := range listing.Targets {
		m.targets[target.Name] = target
	}
}

// isTargetGone reports whether the platform's list has been read and does not
// contain the target.
func (m *members) isTargetGone(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, listed := m.targets[name]
	return m.listingRead && !listed
}

// Gone implements journal.Liveness. It also starts to track the incarnation.
func (m *members) Gone(holder model.Holder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Track(m.d.now(), holder)
	return m.table.IsGone(holder)
}

// rpcAddress returns the TCP address on which a VM accepts RPC calls of peers,
// and whether the VM is registered.
func (m *members) rpcAddress(vm string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	registration, ok := m.registrations[vm]
	return registration.PeerRPCAddr, ok
}

// dutyOwner returns the VM that should hold a duty. VMs of dataCentre are
// preferred; an empty string means no preference.
func (m *members) dutyOwner(duty, dataCentre string) (model.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Owner(duty, dataCentre)
}

// remoteTakeoverDelay is the time for which unreachable VMs that are not gone
// keep the groups of their data centre from being taken over by other data
// centres. When regions are cut off from each other, both sides still reach the
// store; without the delay each side would take over the other's groups.
const remoteTakeoverDelay = 30 * time.Second

// groupOwner returns the VM that should own a group. It returns a VM of another
// data centre only if no VM of the group's data centre has been unreachable for
// less than remoteTakeoverDelay, because such a VM may only be cut off.
func (m *members) groupOwner(group, dataCentre string) (model.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	successor, found := m.table.Owner("group/"+group, dataCentre)
	if !found || successor.DataCentre == dataCentre {
		return successor, found
	}
	for holder, since := range m.unreachableSince {
		if m.registrations[holder.VM].DataCentre == dataCentre && m.d.now()-since < remoteTakeoverDelay {
			return model.VM{}, false
		}
	}
	return successor, true
}

// trackUnreachable records when each incarnation became unreachable, and
// removes those that have become reachable or gone. The caller must hold m.mu.
func (m *members) trackUnreachable(transitions []membership.Transition) {
	for _, transition := range transitions {
		if transition.To == membership.Unreachable {
			m.unreachableSince[transition.Holder] = m.d.now()
		} else {
			delete(m.unreachableSince, transition.Holder)
		}
	}
}

// dataCentreOf returns the data centre of a VM, or an empty string if the VM is
// not registered.
func (m *members) dataCentreOf(holder model.Holder) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registrations[holder.VM].DataCentre
}

// peerWithNewestConfig returns a peer that has announced the newest
// configuration version. If there are several, it picks one at random, so that
// not all VMs fetch from the same peer.
func (m *members) peerWithNewestConfig() (model.Holder, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, holders := m.table.NewestConfig()
	holders = slices.DeleteFunc(holders, func(h model.Holder) bool { return h == m.d.holder() })
	if len(holders) == 0 {
		return model.Holder{}, false
	}
	return holders[rand.IntN(len(holders))], true
}

// reachableCount returns the number of reachable VMs, including this one.
func (m *members) reachableCount() int {
	count := 1
	for _, entry := range m.peers() {
		if entry.State.Reachable() {
			count++
		}
	}
	return count
}

// anyReadyPeer reports whether any reachable peer is ready.
func (m *members) anyReadyPeer() bool {
	for _, entry := range m.peers() {
		if entry.Digest.Ready && entry.State.Reachable() {
			return true
		}
	}
	return false
}

// shouldWatchConfig reports whether this VM is one of the configWatchers VMs of
// its data centre that watch the configuration in the store. The other VMs
// learn of new versions by heartbeats, so that the read rate of the store does
// not grow with the number of VMs.
func (m *members) shouldWatchConfig() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range m.table.RankedIn("config-watch", m.d.self.DataCentre, configWatchers) {
		if vm.Name == m.d.self.Name {
			return true
		}
	}
	return false
}

// configWatchers is the number of VMs per data centre that watch the
// configuration in the store. The second VM covers the loss of the first.
const configWatchers = 2

// ranked returns up to n VMs in their order of rank for a duty. The first VM is
// the owner.
func (m *members) ranked(duty string, n int) []model.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Ranked(duty, n)
}

// isServing reports whether an incarnation of a VM is reachable and registered,
// and neither draining nor leaving.
func (m *members) isServing(holder model.Holder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, known := m.table.Entry(holder)
	if !known {
		return false
	}
	return entry.State.Reachable() && entry.Registered && !entry.Digest.Draining && !entry.Leaving
}

// peers returns the table entries of the peers of this VM.
func (m *members) peers() []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Peers()
}

// entries returns all entries of the membership table.
func (m *members) entries() []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Entries()
}

// receiveHeartbeat applies a received heartbeat to the membership table, the
// routing table and the configuration follower. It runs on the event loop of
// the heartbeats.
func (m *members) receiveHeartbeat(digest rpcapi.Digest) {
	m.mu.Lock()
	err := m.table.RecordHeartbeat(m.d.now(), digest)
	if err == nil {
		m.lastHeartbeatAt = time.Now()
	}
	m.mu.Unlock()
	if err != nil {
		return
	}
	for _, g := range digest.Groups {
		m.d.routingTable.ApplyDigest(digest.From, g)
	}
	m.d.follower.NotifyVersion(digest.ConfigVersion)
}

// heartbeatWithin reports whether the last heartbeat of any peer was received
// less than limit ago.
func (m *members) heartbeatWithin(limit time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastHeartbeatAt) < limit
}
