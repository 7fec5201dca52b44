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

// Table is what this VM knows about all target groups, for routing only. It is
// a hint: the group's owner decides.
type Table struct {
	mu     sync.RWMutex
	groups map[string]*entry
}

type entry struct {
	group    group.Group
	owner    model.Holder
	epoch    model.Epoch
	queued   time.Duration
	version  uint64 // of the resident set that the owner announced
	fetched  uint64 // of the resident set that is held here
	resident map[model.AdapterVersion]struct{}
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{groups: map[string]*entry{}} }

// SetGroups replaces the groups of the listing. What is known of the owners of
// the remaining groups is kept.
func (t *Table) SetGroups(groups []group.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*entry, len(groups))
	for _, g := range groups {
		known := t.groups[g.Name]
		if known == nil {
			known = &entry{resident: map[model.AdapterVersion]struct{}{}}
		}
		known.group = g
		next[g.Name] = known
	}
	t.groups = next
}

// Apply enters a heartbeat's statement about a group. Statements of older
// epochs are ignored.
func (t *Table) Apply(from model.Holder, digest rpcapi.GroupDigest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.groups[digest.Group]
	if known == nil || digest.Epoch < known.epoch {
		return
	}
	known.owner = from
	known.epoch = digest.Epoch
	known.queued = digest.QueuedWork
	known.version = digest.ResidentVersion
}

// Owner returns the owner of a group and its epoch, or ok false if unknown.
func (t *Table) Owner(name string) (owner model.Holder, epoch model.Epoch, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	known := t.groups[name]
	if known == nil || known.epoch == 0 {
		return model.Holder{}, 0, false
	}
	return known.owner, known.epoch, true
}

// Outdated returns the groups whose resident set has changed since it was
// fetched, with their owners.
func (t *Table) Outdated() map[string]model.Holder {
	t.mu.RLock()
	defer t.mu.RUnlock()
	outdated := map[string]model.Holder{}
	for name, known := range t.groups {
		if known.epoch > 0 && known.version != known.fetched {
			outdated[name] = known.owner
		}
	}
	return outdated
}

// SetResident replaces a group's resident set.
func (t *Table) SetResident(name string, version uint64, adapters []model.AdapterVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.groups[name]
	if known == nil {
		return
	}
	known.fetched = version
	known.resident = make(map[model.AdapterVersion]struct{}, len(adapters))
	for _, adapter := range adapters {
		known.resident[adapter] = struct{}{}
	}
}

// Candidates returns the groups that can serve a request.
func (t *Table) Candidates(request core.Request) []routing.Candidate {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var candidates []routing.Candidate
	for name, known := range t.groups {
		if !serves(known.group, request) || !hasTarget(known.group, request.Exclude) {
			continue
		}
		_, resident := known.resident[request.Adapter]
		candidates = append(candidates, routing.Candidate{
			Group: name, DataCentre: known.group.DataCentre, Region: known.group.Region,
			QueuedWork: known.queued, Resident: resident, NeedsLoad: request.Class == model.ClassRunner,
		})
	}
	return candidates
}

// hasTarget reports whether the group has a target that may be used.
func hasTarget(g group.Group, exclude []string) bool {
	for _, target := range g.Targets {
		if !target.Leaving && !slices.Contains(exclude, target.Name) {
			return true
		}
	}
	return false
}

func serves(g group.Group, request core.Request) bool {
	if g.Class != request.Class {
		return false
	}
	if request.Class == model.ClassService {
		return g.Application == request.Application
	}
	return g.BaseModel == request.BaseModel
}

// Groups returns the names of all groups with their class.
func (t *Table) Groups() []group.Group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	groups := make([]group.Group, 0, len(t.groups))
	for _, known := range t.groups {
		groups = append(groups, known.group)
	}
	return groups
}
