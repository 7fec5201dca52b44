package groupserver

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/tenure"
)

// Kind is the kind of the groups' objects in the store.
const Kind = "groups"

// Orders reaches the model engines.
type Orders interface {
	Order(ctx context.Context, o placer.Order, holder string, token int64) placer.Result
	Report(ctx context.Context, target, address string) (*placer.Report, error)
}

// Observer is told of changes of what this VM believes and does. Its methods
// must not block.
type Observer interface {
	GroupChanged(group string, record tenure.Record, action tenure.Action, err error)
	Ordered(group string, epoch int64, order placer.Order, result placer.Result, took time.Duration)
	Reported(group, target string, err error)
	Granted(group string, epoch int64, command placer.GrantRequest)
	Refused(group string, epoch int64, command placer.RefuseRequest)
}

// Options of a Manager.
type Options struct {
	VM          string
	Incarnation uint64
	Address     string            // for peers
	Lease       time.Duration     // in which two owners must not take turns, 0: the default
	Regions     map[string]string // of data centres
	Store       objectstore.Store
	Orders      Orders
	Observer    Observer
	// Announce tells a VM a group's record, if it can be reached.
	Announce func(address string, request grouprpc.AnnounceRequest)
	// Settle is the time without new targets before the number of groups is decided,
	// default DefaultSettle.
	Settle time.Duration
	// StoreFine reports whether this VM reaches the store.
	StoreFine func() bool
	// StoreBlind reports whether it has failed to for a while.
	StoreBlind func() bool
}

// Manager owns groups. It is safe for concurrent use.
type Manager struct {
	opt   Options
	start time.Time

	mu       sync.Mutex
	services map[string]fleet.Service
	targets  map[string][]fleet.Target // by service
	layouts  map[string]int            // shards by service
	asked    map[string]bool           // a layout is being written
	groups   map[string]*group
	draining bool

	listed   atomic.Bool // the objects of the groups were read
	verified atomic.Bool // no pause of the process since the last check
	lastBeat time.Time
}

// New returns a manager that owns nothing.
func New(opt Options) *Manager {
	if opt.Settle <= 0 {
		opt.Settle = DefaultSettle
	}
	m := &Manager{opt: opt, start: time.Now(), groups: map[string]*group{}, layouts: map[string]int{}, asked: map[string]bool{}, lastBeat: time.Now()}
	m.verified.Store(true)
	return m
}

func (m *Manager) now() time.Duration { return time.Since(m.start) }

// SetFleet tells the targets and the services in force.
func (m *Manager) SetFleet(services map[string]fleet.Service, targets []fleet.Target) {
	byService := map[string][]fleet.Target{}
	for _, t := range targets {
		if service, found := services[t.Service]; found && service.Engine != nil {
			byService[t.Service] = append(byService[t.Service], t)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.services, m.targets = services, byService
	m.divide()
}

// divide gives the groups their targets. The caller holds the lock.
func (m *Manager) divide() {
	members := map[string][]fleet.Target{}
	for service, targets := range m.targets {
		shards, known := m.layouts[service]
		if !known {
			m.wantLayout(service, len(targets))
			continue
		}
		for _, t := range targets {
			name := GroupName(service, shardOf(t.ID, shards))
			members[name] = append(members[name], t)
		}
		for shard := range shards {
			name := GroupName(service, shard)
			m.group(name).setFleet(m.engineParams(m.services[service].Engine, len(targets), shards), members[name])
		}
	}
	for name, g := range m.groups {
		if members[name] == nil {
			g.setFleet(g.parameters(), nil)
		}
	}
}

// Adapters on their way from the weights store up to which they come at full
// speed, over all targets of a service.
const (
	leastTransit     = 12
	transitPerTarget = 0.9
)

func (m *Manager) engineParams(e *fleet.Engine, targets, shards int) placer.Params {
	transit := max(leastTransit, transitPerTarget*float64(targets)) / float64(shards)
	p := placer.Params{Regions: m.opt.Regions, Transit: int(transit + 0.5), Engine: placer.Engine{
		CacheTokens: e.CacheTokens, EventTokens: e.EventTokens, AdapterSlots: e.AdapterSlots, WeightsMB: e.WeightsMB,
		LoadsPerSecond: e.LoadsPerSecond / float64(shards),
	}}
	for _, model := range e.Models {
		p.Engine.Models = append(p.Engine.Models, placer.Model{
			Name: model.Name, WeightsMB: model.WeightsMB, AdapterMB: model.AdapterMB, LoadTime: model.LoadTime,
		})
	}
	return p
}

// group returns the row of a group. The caller holds the lock.
func (m *Manager) group(name string) *group {
	g := m.groups[name]
	if g == nil {
		g = newGroup(m, name)
		m.groups[name] = g
	}
	return g
}

func (m *Manager) jitter(group string) float64 {
	return float64(xxhash.Sum64String(group+"\x00"+m.opt.VM)%1000) / 1000
}

func (m *Manager) find(name string) *group {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.groups[name]
}

func (m *Manager) all() []*group {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*group, 0, len(m.groups))
	for _, g := range m.groups {
		all = append(all, g)
	}
	return all
}

// SetVersion tells an announced version of an adapter.
func (m *Manager) SetVersion(a placer.Adapter, version int64) {
	for _, g := range m.all() {
		g.setVersion(a, version)
	}
}

// Replace implements kindwatch.Handler for the groups' objects.
func (m *Manager) Replace(objects []objectstore.Object) {
	listed := map[string]bool{}
	for _, o := range objects {
		listed[groupOf(o.Key)] = true
		m.enter(o)
	}
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.divide()
	}()
	for _, g := range m.all() {
		if !listed[g.name] {
			g.absent()
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, g := range m.groups {
		g.listed.Store(true)
	}
	m.listed.Store(true)
}

// Change implements kindwatch.Handler.
func (m *Manager) Change(changes []objectstore.Change) {
	for _, c := range changes {
		if c.Deleted {
			if g := m.find(groupOf(c.Object.Key)); g != nil {
				g.absent()
			}
			continue
		}
		m.enter(c.Object)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.divide()
}

// Learn enters a group's record that another VM has told.
func (m *Manager) Learn(group string, r tenure.Record, version int64) {
	if g := m.find(group); g != nil && r.Epoch > 0 {
		g.setRecord(r, version)
	}
}

func groupOf(key string) string { return key[len(Kind)+1:] }

func (m *Manager) enter(o objectstore.Object) {
	if service, found := strings.CutPrefix(groupOf(o.Key), layoutPrefix); found {
		m.enterLayout(service, o.Value)
		return
	}
	var r tenure.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		m.opt.Observer.GroupChanged(groupOf(o.Key), r, tenure.NoAction, errs.Wrap(err, errs.InvalidMessage, "decode the object of a group"))
		return
	}
	m.mu.Lock()
	g := m.group(groupOf(o.Key))
	m.mu.Unlock()
	g.setRecord(r, o.Version)
}

const (
	// beat is the time between looks at the groups.
	beat = 50 * time.Millisecond
	// pauseLimit is the time between two beats from which the process counts as
	// paused, so that it may have lost its groups unnoticed.
	pauseLimit = 700 * time.Millisecond
)

// Run carries out what the groups' tenures ask for until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.notePause()
		for _, g := range m.all() {
			g.step(ctx)
		}
	}
}

// notePause finds pauses of the process. The steady clock may stand still
// meanwhile, the time of day does not, but may jump.
func (m *Manager) notePause() {
	now := time.Now()
	steady, day := now.Sub(m.lastBeat), now.Round(0).Sub(m.lastBeat.Round(0))
	m.lastBeat = now
	if steady < pauseLimit && day < pauseLimit {
		return
	}
	if m.verified.Swap(false) {
		go m.verify()
	}
}

// verify reads the objects of the owned groups and lets orders go on.
func (m *Manager) verify() {
	defer m.verified.Store(true)
	for _, g := range m.all() {
		if g.owned() {
			g.refresh()
		}
	}
}

// Drain gives all groups up.
func (m *Manager) Drain() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for _, g := range m.all() {
		if g.owned() {
			g.act(context.Background(), tenure.Release)
		}
	}
}

func (m *Manager) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

// Owned returns the names of the groups that this VM owns.
func (m *Manager) Owned() []string {
	var names []string
	for _, g := range m.all() {
		if g.owned() {
			names = append(names, g.name)
		}
	}
	return names
}

// OwnsAny reports whether this VM owns a group.
func (m *Manager) OwnsAny() bool { return len(m.Owned()) > 0 }

// Deputy reports whether a caller is one of those that follow the store besides the
// group's owner: the first of the VMs that called lately.
func (m *Manager) Deputy(group, vm string) bool {
	g := m.find(group)
	return g != nil && g.deputy(vm)
}

// Status is what is known of a group.
type Status struct {
	Name   string
	Record tenure.Record
	Exists bool
	Own    bool
}

// Status returns what is known of all groups of a service.
func (m *Manager) Status() []Status {
	var all []Status
	for _, g := range m.all() {
		all = append(all, g.status())
	}
	return all
}

// Contact tells that a group's owner has answered.
func (m *Manager) Contact(name string, epoch int64, blind bool) {
	if g := m.find(name); g != nil {
		g.contact(epoch, blind)
	}
}

// Kill ends all cores at once.
func (m *Manager) Kill() {
	for _, g := range m.all() {
		g.kill()
	}
}

// Missed tells that a group's owner did not answer.
func (m *Manager) Missed(name string, epoch int64) {
	if g := m.find(name); g != nil {
		g.missed(epoch)
	}
}

// count returns the number of groups.
func (m *Manager) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.groups)
}

// Queue returns the requests that wait in the owned groups, and the age of the
// oldest.
func (m *Manager) Queue() (waiting int, oldest time.Duration) {
	for _, g := range m.all() {
		n, age := g.queued()
		waiting, oldest = waiting+n, max(oldest, age)
	}
	return waiting, oldest
}
