package groupserver

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/tenure"
)

// The targets of a service are divided into a fixed number of groups, so that no
// owner has more requests than a small VM can place. The number is decided once and
// stored in an object next to those of the groups, because a target must never
// belong to two groups.
const (
	// layoutPrefix is the prefix of the names of the layout objects.
	layoutPrefix = "layout."
	// singleGroupTargets is the largest number of targets that form a single group.
	// One owner for all targets keeps the fewest copies of adapters.
	singleGroupTargets = 32
	// targetsPerGroup is the usual size of a group in services with more targets.
	targetsPerGroup = 18
)

// layout is the stored number of groups of a service.
type layout struct {
	Shards int `json:"shards"`
}

// GroupName returns the name of a group of a service's targets.
func GroupName(service string, shard int) string { return service + "." + strconv.Itoa(shard) }

func shardOf(target string, shards int) int {
	return int(xxhash.Sum64String(target) % uint64(shards))
}

// shardCount returns the number of groups for a number of targets.
func shardCount(targets int) int {
	if targets <= singleGroupTargets {
		return 1
	}
	return (targets + targetsPerGroup - 1) / targetsPerGroup
}

// RankedGroups returns the groups of a service in the order of preference for an
// adapter, which depends on the names alone (rendezvous hashing). Requests for an
// adapter usually go to its first group, so that few copies are needed.
func (m *Manager) RankedGroups(service, adapter string) []string {
	m.mu.Lock()
	shards := m.layouts[service]
	m.mu.Unlock()
	names := make([]string, shards)
	weights := make(map[string]uint64, shards)
	for i := range names {
		names[i] = GroupName(service, i)
		weights[names[i]] = xxhash.Sum64String(names[i] + "\x00" + adapter)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
	return names
}

// DefaultSettleDelay is how long the number of targets must not grow before the number
// of groups is decided. Targets register one after another when a deployment starts.
const DefaultSettleDelay = 3500 * time.Millisecond

// scheduleLayout schedules the decision on the number of groups of a service after the
// settle delay, unless a decision is pending or the groups' objects have not been read
// yet. The caller holds the lock.
func (m *Manager) scheduleLayout(service string, targets int) {
	if !m.objectsRead.Load() || m.layoutPending[service] || targets == 0 {
		return
	}
	m.layoutPending[service] = true
	time.AfterFunc(m.opt.SettleDelay, func() { m.decideLayout(service, targets) })
}

// decideLayout writes the number of groups, or schedules a new decision if targets were
// added in the meantime.
func (m *Manager) decideLayout(service string, targets int) {
	m.mu.Lock()
	m.layoutPending[service] = false
	current := len(m.targets[service])
	if current > targets {
		m.scheduleLayout(service, current)
	}
	grown, decided := current > targets, m.layouts[service] > 0
	m.layoutPending[service] = true
	m.mu.Unlock()
	if !grown && !decided {
		m.writeLayout(service, current)
	}
}

func (m *Manager) writeLayout(service string, targets int) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	key := Kind + "/" + layoutPrefix + service
	value, err := json.Marshal(layout{Shards: shardCount(targets)})
	if err == nil {
		_, err = m.opt.Store.Create(ctx, key, value)
	}
	if err != nil {
		object, failure := m.opt.Store.Get(ctx, key, 0)
		value, err = object.Value, failure
	}
	if err != nil {
		m.opt.Observer.GroupChanged(layoutPrefix+service, tenure.Record{}, tenure.NoAction, err)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.layoutPending[service] = false // allows another attempt at the next change
		return
	}
	m.setLayout(service, value)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.assignTargets()
}

func (m *Manager) setLayout(service string, value []byte) {
	var l layout
	if err := json.Unmarshal(value, &l); err != nil || l.Shards < 1 {
		err = errs.New(errs.InvalidMessage, "layout object of service "+service+" is invalid: it must hold a number of groups of at least 1")
		m.opt.Observer.GroupChanged(layoutPrefix+service, tenure.Record{}, tenure.NoAction, err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.layouts[service] == 0 {
		m.layouts[service] = l.Shards
	}
}

// AllOwned reports whether all groups of all known services have an owner, so that
// requests for model engines can be placed.
func (m *Manager) AllOwned() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.objectsRead.Load() {
		return false
	}
	for service := range m.targets {
		for shard := range m.layouts[service] {
			g := m.groups[GroupName(service, shard)]
			if g == nil || !g.hasOwner() {
				return false
			}
		}
		if m.layouts[service] == 0 {
			return false
		}
	}
	return true
}
