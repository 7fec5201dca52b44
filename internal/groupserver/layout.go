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

// A service's targets are divided into a fixed number of groups, so that no owner
// has more requests than a small VM can place. The number is agreed once, in an
// object beside those of the groups: a target must never belong to two groups.
const (
	// layoutPrefix begins the names of the objects with the numbers.
	layoutPrefix = "layout."
	// singleGroup is the number of targets up to which they form one group, which
	// sees all of them and so keeps the fewest copies of adapters.
	singleGroup = 32
	// groupTargets is the usual size of a group beyond.
	groupTargets = 18
)

type layout struct {
	Shards int `json:"shards"`
}

// GroupName names a group of a service's targets.
func GroupName(service string, shard int) string { return service + "." + strconv.Itoa(shard) }

func shardOf(target string, shards int) int {
	return int(xxhash.Sum64String(target) % uint64(shards))
}

// shardsFor returns the number of groups for a number of targets.
func shardsFor(targets int) int {
	if targets <= singleGroup {
		return 1
	}
	return (targets + groupTargets - 1) / groupTargets
}

// Ranked returns the groups of a service for an adapter, its own one first. Each
// adapter has one group that it is usually held by, so that few copies are needed.
func (m *Manager) Ranked(service, adapter string) []string {
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

// DefaultSettle is the time for which the number of targets must not have grown
// before it decides the number of groups. Targets enter one after another when a
// deployment starts.
const DefaultSettle = 3500 * time.Millisecond

// wantLayout decides on the number of groups of a service, if nobody has, once its
// targets are complete. The caller holds the lock.
func (m *Manager) wantLayout(service string, targets int) {
	if !m.listed.Load() || m.asked[service] || targets == 0 {
		return
	}
	m.asked[service] = true
	time.AfterFunc(m.opt.Settle, func() { m.settled(service, targets) })
}

// settled writes the number of groups unless more targets have come meanwhile.
func (m *Manager) settled(service string, targets int) {
	m.mu.Lock()
	m.asked[service] = false
	now := len(m.targets[service])
	if now > targets {
		m.wantLayout(service, now)
	}
	grown, known := now > targets, m.layouts[service] > 0
	m.asked[service] = true
	m.mu.Unlock()
	if !grown && !known {
		m.writeLayout(service, now)
	}
}

func (m *Manager) writeLayout(service string, targets int) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	key := Kind + "/" + layoutPrefix + service
	value, err := json.Marshal(layout{Shards: shardsFor(targets)})
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
		m.asked[service] = false // tried again with the next change
		return
	}
	m.enterLayout(service, value)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.divide()
}

func (m *Manager) enterLayout(service string, value []byte) {
	var l layout
	if err := json.Unmarshal(value, &l); err != nil || l.Shards < 1 {
		err = errs.New(errs.InvalidMessage, "the layout of service "+service+" is not valid")
		m.opt.Observer.GroupChanged(layoutPrefix+service, tenure.Record{}, tenure.NoAction, err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.layouts[service] == 0 {
		m.layouts[service] = l.Shards
	}
}

// Settled reports whether all groups of the services that are known have an owner,
// so that requests for model engines can be placed.
func (m *Manager) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed.Load() {
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
