package groupserver

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
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

// storedLayout is a layout and where it was read or written.
type storedLayout struct {
	layout
	at objectstore.Position
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
	shards := m.layouts[service].Shards
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
	grown, decided := current > targets, m.layouts[service].Shards > 0
	m.layoutPending[service] = true
	m.mu.Unlock()
	if !grown && !decided {
		m.writeLayout(service, layout{Shards: shardCount(current)})
	}
}

func (m *Manager) writeLayout(service string, l layout) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	key := Kind + "/" + layoutPrefix + service
	value, err := json.Marshal(l)
	var object objectstore.Object
	if err == nil {
		object, err = m.opt.Store.Create(ctx, key, value)
	}
	object.Key, object.Value = key, value
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

// setLayout sets the number of groups of a service from its object. The number changes only
// if the store was restored and another VM has decided anew.
func (m *Manager) setLayout(service string, o objectstore.Object) {
	var l layout
	if err := json.Unmarshal(o.Value, &l); err != nil || l.Shards < 1 || l.Shards > maxShards {
		err = errs.New(errs.InvalidMessage, "layout object of service "+service+" is invalid: it must hold a number of groups from 1 to "+strconv.Itoa(maxShards))
		m.opt.Observer.ObjectIgnored(o, err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	at := o.Position()
	if known := m.layouts[service]; known.Shards == 0 || at.Era() > known.at.Era() {
		m.layouts[service] = storedLayout{layout: l, at: at}
	}
}

// restoreLayouts writes the layouts again that a restored store lacks, before a VM that has
// started since decides on its own. The caller holds the lock.
func (m *Manager) restoreLayouts(listed map[string]bool, at objectstore.Position) {
	for service, known := range m.layouts {
		if !listed[layoutPrefix+service] && at.Era() > known.at.Era() {
			m.scheduleRestore(service, at.Era())
		}
	}
}

func (m *Manager) scheduleRestore(service string, era int64) {
	time.AfterFunc(rand.N(m.opt.SettleDelay/2), func() {
		defer m.contain("layout")
		m.restoreLayout(service, era)
	})
}

// restoreLayout writes a layout again in an era of the store, unless another VM has done so or
// the store has been restored again. After a failure it is tried again.
func (m *Manager) restoreLayout(service string, era int64) {
	if m.draining.Load() || !m.lacksLayout(service, era) {
		return
	}
	m.mu.Lock()
	known := m.layouts[service].layout
	m.mu.Unlock()
	m.writeLayout(service, known)
	if m.lacksLayout(service, era) {
		m.scheduleRestore(service, era)
	}
}

// lacksLayout reports whether the layout of a service is not known to be in the store in its
// newest era, if that is the given one.
func (m *Manager) lacksLayout(service string, era int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return objectstore.Position(m.listedAt.Load()).Era() == era && m.layouts[service].at.Era() < era
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
		for shard := range m.layouts[service].Shards {
			g := m.groups[GroupName(service, shard)]
			if g == nil || !g.hasOwner() {
				return false
			}
		}
		if m.layouts[service].Shards == 0 {
			return false
		}
	}
	return true
}
