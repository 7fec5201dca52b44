package groupserver

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
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
	// maxShards is the number of groups of 18,000 targets. Each group costs memory on each VM.
	maxShards = 1024
)

// layout is the stored number of groups of a service.
type layout struct {
	Shards int `json:"shards"`
}

// GroupName returns the name of a group of a service's targets.
func GroupName(service string, shard int) string { return service + "." + strconv.Itoa(shard) }

// isGroupName reports whether a name is one that GroupName returns.
func isGroupName(name string) bool {
	dot := strings.LastIndexByte(name, '.')
	if dot < 1 {
		return false
	}
	shard, err := strconv.Atoi(name[dot+1:])
	return err == nil && shard >= 0 && shard < maxShards && name == GroupName(name[:dot], shard)
}

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
	time.AfterFunc(m.opt.SettleDelay, func() {
		defer m.contain("layout")
		m.decideLayout(service, targets)
	})
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
	object := objectstore.Object{Key: key, Value: value}
	if err != nil {
		object, err = m.opt.Store.Get(ctx, key, 0)
	}
	if err != nil {
		m.opt.Observer.GroupChanged(layoutPrefix+service, tenure.Record{}, tenure.NoAction, err)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.layoutPending[service] = false // allows another attempt at the next change
		return
	}
	m.setLayout(service, object)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.assignTargets()
}

func (m *Manager) setLayout(service string, o objectstore.Object) {
	var l layout
	if err := json.Unmarshal(o.Value, &l); err != nil || l.Shards < 1 || l.Shards > maxShards {
		err = errs.New(errs.InvalidMessage, "layout object of service "+service+" is invalid: it must hold a number of groups from 1 to "+strconv.Itoa(maxShards))
		m.opt.Observer.ObjectIgnored(o, err)
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
