package permit

import (
	"slices"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/routing"
	"cicadaslip/internal/rpcapi"
)

// RoutingTable holds the state of all target groups as this VM last received it. It
// is used for routing only and may be outdated; the owner of a group decides.
type RoutingTable struct {
	mu     sync.RWMutex
	groups map[string]*groupEntry
}

// groupEntry is the last received state of one group.
type groupEntry struct {
	group            group.Group
	owner            model.Holder
	epoch            model.Epoch   // 0 while no owner is known
	queuedWork       time.Duration // estimated wait of a new request
	announcedVersion uint64        // version of the resident set at the owner
	fetchedVersion   uint64        // version of the resident set in resident
	resident         map[model.AdapterVersion]struct{}
}

// NewRoutingTable returns a table without groups.
func NewRoutingTable() *RoutingTable { return &RoutingTable{groups: map[string]*groupEntry{}} }

// SetGroups replaces the groups of the table by those of a listing. The owner and
// resident set of groups that remain listed are kept.
func (t *RoutingTable) SetGroups(groups []group.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*groupEntry, len(groups))
	for _, g := range groups {
		entry := t.groups[g.Name]
		if entry == nil {
			entry = &groupEntry{resident: map[model.AdapterVersion]struct{}{}}
		}
		entry.group = g
		next[g.Name] = entry
	}
	t.groups = next
}

// ApplyDigest updates a group from its owner's digest in a heartbeat. It ignores
// digests of older epochs and of groups that are not listed.
func (t *RoutingTable) ApplyDigest(from model.Holder, digest rpcapi.GroupDigest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.groups[digest.Group]
	if entry == nil || digest.Epoch < entry.epoch {
		return
	}
	entry.owner = from
	entry.epoch = digest.Epoch
	entry.queuedWork = digest.QueuedWork
	entry.announcedVersion = digest.ResidentVersion
}

// Owner returns the owner of a group and its epoch. It returns ok false if the
// owner is not known.
func (t *RoutingTable) Owner(name string) (owner model.Holder, epoch model.Epoch, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entry := t.groups[name]
	if entry == nil || entry.epoch == 0 {
		return model.Holder{}, 0, false
	}
	return entry.owner, entry.epoch, true
}

// OutdatedResidents returns the owners of the groups whose resident set has changed
// since it was fetched, by group name.
func (t *RoutingTable) OutdatedResidents() map[string]model.Holder {
	t.mu.RLock()
	defer t.mu.RUnlock()
	outdated := map[string]model.Holder{}
	for name, entry := range t.groups {
		if entry.epoch > 0 && entry.announcedVersion != entry.fetchedVersion {
			outdated[name] = entry.owner
		}
	}
	return outdated
}

// SetResident replaces the resident set of a group by the adapters fetched from its
// owner.
func (t *RoutingTable) SetResident(name string, version uint64, adapters []model.AdapterVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.groups[name]
	if entry == nil {
		return
	}
	entry.fetchedVersion = version
	entry.resident = make(map[model.AdapterVersion]struct{}, len(adapters))
	for _, adapter := range adapters {
		entry.resident[adapter] = struct{}{}
	}
}

// Candidates returns the groups that can serve a request, in no particular order.
func (t *RoutingTable) Candidates(request core.Request) []routing.Candidate {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var candidates []routing.Candidate
	for name, entry := range t.groups {
		if !serves(entry.group, request) || !hasAllowedTarget(entry.group, request.Exclude) {
			continue
		}
		_, resident := entry.resident[request.Adapter]
		candidates = append(candidates, routing.Candidate{
			Group: name, DataCentre: entry.group.DataCentre, Region: entry.group.Region,
			QueuedWork: entry.queuedWork, Resident: resident, NeedsLoad: request.Class == model.ClassRunner,
		})
	}
	return candidates
}

// hasAllowedTarget reports whether the group has a target that is neither leaving
// nor excluded.
func hasAllowedTarget(g group.Group, exclude []string) bool {
	for _, target := range g.Targets {
		if !target.Leaving && !slices.Contains(exclude, target.Name) {
			return true
		}
	}
	return false
}

// serves reports whether the group's class and its application or base model match
// the request.
func serves(g group.Group, request core.Request) bool {
	if g.Class != request.Class {
		return false
	}
	if request.Class == model.ClassService {
		return g.Application == request.Application
	}
	return g.BaseModel == request.BaseModel
}

// Groups returns all listed groups, in no particular order.
func (t *RoutingTable) Groups() []group.Group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	groups := make([]group.Group, 0, len(t.groups))
	for _, entry := range t.groups {
		groups = append(groups, entry.group)
	}
	return groups
}
