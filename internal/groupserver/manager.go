package groupserver

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/quota"
	"cicadaslip/internal/tenure"
)

// Kind is the kind, and key prefix, of the groups' objects in the store.
const Kind = "groups"

// EngineClient sends orders to the model engines and gets reports from them.
type EngineClient interface {
	// Order sends an order with the name of the owner and the group's epoch, which is
	// the fencing token.
	Order(ctx context.Context, o placer.Order, holder string, token int64) placer.OrderResult
	// Report returns the current state of a target.
	Report(ctx context.Context, target, address string) (*placer.Report, error)
}

// Observer is notified of ownership changes and of the decisions of owned groups.
// Its methods must not block.
type Observer interface {
	// GroupChanged is called with NoAction when a record with another epoch or release
	// is seen, and with the action and its result after each action of this VM.
	GroupChanged(group string, record tenure.Record, action tenure.Action, err error)
	// ObjectIgnored is called with an object of a group or layout that can't be used.
	ObjectIgnored(o objectstore.Object, err error)
	// Ordered is called with the result of an order and the time that it took.
	Ordered(group string, epoch int64, order placer.Order, result placer.OrderResult, took time.Duration)
	// Reported is called when a report of a target was received or has failed.
	Reported(group, target string, err error)
	// ReportPartIgnored is called with a part of a target's report that can't be read.
	ReportPartIgnored(target string, err error)
	// Granted and Refused are called with the core's decisions on requests.
	Granted(group string, epoch int64, command placer.GrantRequest)
	Refused(group string, epoch int64, command placer.RefuseRequest)
	// Panicked is called after a panic in a call to a target.
	Panicked(place string, failure *errs.Error)
}

// Options holds the settings and dependencies of a Manager.
type Options struct {
	VM          string
	Incarnation uint64
	Address     string            // address of this VM for calls from peers
	Lease       time.Duration     // minimum time before a VM that lost a group may own it again, 0 for tenure.DefaultLease
	Cores       float64           // processor time of this VM, in cores, 0 if unknown
	Regions     map[string]string // region by data centre
	Store       objectstore.Store
	Engines     EngineClient
	Observer    Observer
	// TargetsCheckFences is set if the targets refuse the orders of replaced owners. Owners
	// then order without a permission that expires.
	TargetsCheckFences bool
	// FirstStart is set if the whole deployment starts for the first time. Otherwise there may
	// be owners that a store in its first era does not know.
	FirstStart bool
	// Announce sends a group's record to the VM at an address.
	Announce func(address string, request grouprpc.AnnounceRequest) (grouprpc.AnnounceReply, error)
	// StoreCalled is called with the result of each confirmation of an ownership.
	StoreCalled func(err error)
	// SettleDelay is how long no targets must be added before the number of groups is
	// decided, DefaultSettleDelay if it is not positive.
	SettleDelay time.Duration
	// RateLimits returns the limits that targets have named to this VM, in requests per second
	// by target. Nil means that there are none.
	RateLimits func() map[string]float64
	// PausedFor returns the time for which a target wants nothing from this VM, 0 if it takes
	// requests. Nil means that no target pauses.
	PausedFor func(target string) time.Duration
	// TakeCall reports whether a call may be made to a target during its pause in which the
	// target's state is read. Nil means that none may.
	TakeCall func(target string) bool
	// Heard is called with what an incarnation of a target states in its answer to an order or a
	// request for a report. Nil ignores it.
	Heard func(target string, born int64, s advisory.CallStatement)
	// Quota counts the requests that have a cost before they are queued. Nil counts none.
	Quota Quota
	// QuotaBounds are the bounds of the limits of organisations.
	QuotaBounds quota.Bounds
	// StoreReachable reports whether the last call to the store succeeded.
	StoreReachable func() bool
	// StoreLost reports whether calls to the store have failed for some time.
	StoreLost func() bool
}

// Manager follows the ownership of all groups and serves those that this VM owns. It
// is safe for concurrent use.
type Manager struct {
	opt   Options
	start time.Time

	mu            sync.Mutex
	services      map[string]fleet.Service
	targets       map[string][]fleet.Target // by service
	layouts       map[string]storedLayout   // by service
	layoutPending map[string]bool           // services whose layout is being decided or has been written by this VM
	groups        map[string]*group

	draining          atomic.Bool  // this VM takes over no group any more and sends no orders
	objectsRead       atomic.Bool  // the objects of all groups were read
	era               atomic.Int64 // newest era of the store of which this VM has heard, 0 before a restore
	listedAt          atomic.Int64 // objectstore.Position of the last list of the groups' objects
	listedEraSince    atomic.Int64 // time of the first list in its era, in nanoseconds of now
	ownershipVerified atomic.Bool  // the owned groups' objects were read after the last pause of the process
	lastCheck         time.Time

	coordinators coordinators
}

// New returns a manager that owns no groups.
func New(opt Options) *Manager {
	if opt.SettleDelay <= 0 {
		opt.SettleDelay = DefaultSettleDelay
	}
	m := &Manager{opt: opt, start: time.Now(), groups: map[string]*group{}, layouts: map[string]storedLayout{}, layoutPending: map[string]bool{}, lastCheck: time.Now()}
	m.ownershipVerified.Store(true)
	return m
}

func (m *Manager) now() time.Duration { return time.Since(m.start) }

// SetFleet sets the current services and targets.
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
	m.assignTargets()
}

// assignTargets assigns the targets to the groups by the layouts of their services, and
// schedules missing layouts. The caller holds the lock.
func (m *Manager) assignTargets() {
	members := map[string][]fleet.Target{}
	for service, targets := range m.targets {
		shards := m.layouts[service].Shards
		if shards == 0 {
			m.scheduleLayout(service, len(targets))
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

// The number of adapters that the weights store delivers at full speed at the same
// time, over all targets of a service, is transitPerTarget for each target but at
// least minTransit.
const (
	minTransit       = 12
	transitPerTarget = 0.9
)

func (m *Manager) engineParams(e *fleet.Engine, targets, shards int) placer.Params {
	transit := max(minTransit, transitPerTarget*float64(targets)) / float64(shards)
	p := placer.Params{Regions: m.opt.Regions, MaxColdLoads: int(transit + 0.5), Engine: placer.Engine{
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

// group returns the group of a name and creates it if necessary. The caller holds the
// lock.
func (m *Manager) group(name string) *group {
	g := m.groups[name]
	if g == nil {
		g = newGroup(m, name)
		m.groups[name] = g
	}
	return g
}

// An owner of a group with many requests needs processor time, so VMs with more of it
// take over earlier: jitterTiers holds, from the largest to the smallest, the least
// number of cores of a tier, and the part of the jitter delay from which the VMs of the
// tier draw.
var jitterTiers = []struct{ cores, from, to float64 }{{0.6, 0, 0.3}, {0.3, 0.2, 0.7}, {0, 0.5, 1}}

const (
	// ownerJitter is added to the jitter of a VM that owns a group, so that others take
	// over the next one.
	ownerJitter = 0.5
	// defaultCores is the processor time of a VM whose settings do not state it.
	defaultCores = 0.4
)

// jitter returns this VM's share of the maximum jitter delay for a group, from 0 to 1.5.
func (m *Manager) jitter(group string, ownsGroup bool) float64 {
	fraction := float64(xxhash.Sum64String(group+"\x00"+m.opt.VM)%1000) / 1000
	cores := m.opt.Cores
	if cores <= 0 {
		cores = defaultCores
	}
	tier := jitterTiers[slices.IndexFunc(jitterTiers, func(t struct{ cores, from, to float64 }) bool { return cores >= t.cores })]
	jitter := tier.from + fraction*(tier.to-tier.from)
	if ownsGroup {
		jitter += ownerJitter
	}
	return jitter
}

func (m *Manager) lookup(name string) *group {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.groups[name]
}

func (m *Manager) allGroups() []*group {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*group, 0, len(m.groups))
	for _, g := range m.groups {
		all = append(all, g)
	}
	return all
}

// SetVersion sets a version of an adapter that was announced some time ago.
func (m *Manager) SetVersion(a placer.Adapter, version int64, age time.Duration) {
	announcement := placer.Announcement{Version: version, At: m.now() - age}
	for _, g := range m.allGroups() {
		g.setVersion(a, announcement)
	}
}

// Replace replaces the records of all groups by those of the objects that were listed at a
// position. It serves as the Replace method of a kindwatch.Handler.
func (m *Manager) Replace(objects []objectstore.Object, at objectstore.Position) {
	if !m.objectsRead.Load() || objectstore.Position(m.listedAt.Load()).Era() < at.Era() {
		m.listedEraSince.Store(int64(m.now())) // before listedAt: the time must not be one of an earlier era
	}
	m.listedAt.Store(int64(at))
	listed := map[string]bool{}
	for _, o := range objects {
		name, era := parseObjectKey(o.Key)
		listed[name] = listed[name] || era == keyEra(at.Era())
		m.setObject(o)
	}
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.assignTargets()
	}()
	for _, g := range m.allGroups() {
		if !listed[g.name] {
			g.setAbsent(at)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restoreLayouts(listed, at)
	for _, g := range m.groups {
		g.objectsRead.Store(true)
	}
	m.objectsRead.Store(true)
}

// listedEra returns the era of the last list of the groups' objects and the time of the first list
// in that era.
func (m *Manager) listedEra() (since time.Duration, era int64) {
	era = objectstore.Position(m.listedAt.Load()).Era()
	return time.Duration(m.listedEraSince.Load()), era
}

// Change applies changes of the groups' objects up to a position. It serves as the Change
// method of a kindwatch.Handler.
func (m *Manager) Change(changes []objectstore.Change, at objectstore.Position) {
	for _, c := range changes {
		if c.Deleted {
			name, era := parseObjectKey(c.Object.Key)
			if g := m.lookup(name); g != nil && era == keyEra(at.Era()) {
				g.setAbsent(c.Object.Position())
			}
			continue
		}
		m.setObject(c.Object)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.assignTargets()
}

// EnterEra records an era of the store of which this VM has heard. What the store holds in it
// is read by the watch.
func (m *Manager) EnterEra(era int64) { m.era.Store(era) }

// SetRecord sets a group's record that was received from another VM.
func (m *Manager) SetRecord(group string, r tenure.Record, version objectstore.Position) {
	if g := m.lookup(group); g != nil && r.Check() == nil && !tenure.OfLaterEra(r, version.Era()) {
		g.setRecord(r, version)
	}
}

// Announced handles the announcement of a takeover by another VM.
func (m *Manager) Announced(request grouprpc.AnnounceRequest) grouprpc.AnnounceReply {
	m.SetRecord(request.Group, request.Record, request.Version)
	g := m.lookup(request.Group)
	if g == nil {
		return grouprpc.AnnounceReply{}
	}
	return g.stoppedBefore(request.Record.Epoch)
}

// eraSeparator separates the name of a group from the era of the store in the key of its
// object. Objects of the first era have no era in their keys.
const eraSeparator = "@"

// keyEra returns the era in the keys of the objects that belong to an era of the store, 0 if
// they have none.
func keyEra(era int64) int64 {
	if era <= objectstore.FirstEra {
		return 0
	}
	return era
}

// ObjectName returns the name of a group's object in an era of the store.
func ObjectName(group string, era int64) string {
	if era = keyEra(era); era > 0 {
		return group + eraSeparator + strconv.FormatInt(era, 10)
	}
	return group
}

func objectKey(group string, era int64) string { return Kind + "/" + ObjectName(group, era) }

// parseObjectKey returns the name of the group or layout and the keyEra of an object.
func parseObjectKey(key string) (name string, era int64) {
	name = key[len(Kind)+1:]
	if i := strings.LastIndex(name, eraSeparator); i >= 0 {
		if era, err := strconv.ParseInt(name[i+1:], 10, 64); err == nil && era > 0 {
			return name[:i], era
		}
	}
	return name, 0
}

// setObject sets the record or layout that an object holds. It returns the record, if
// the object holds one. What is known of a group stays when its object becomes invalid.
func (m *Manager) setObject(o objectstore.Object) (tenure.Record, bool) {
	defer m.contain("object")
	if o.Invalid != nil {
		return tenure.Record{}, false
	}
	name, _ := parseObjectKey(o.Key)
	if service, found := strings.CutPrefix(name, layoutPrefix); found {
		m.setLayout(service, o)
		return tenure.Record{}, false
	}
	r, err := decodeRecord(o)
	if err != nil {
		m.opt.Observer.ObjectIgnored(o, err)
		return tenure.Record{}, false
	}
	m.mu.Lock()
	g := m.group(name)
	m.mu.Unlock()
	g.setRecord(r, objectstore.Position(o.Version))
	return r, true
}

func decodeRecord(o objectstore.Object) (r tenure.Record, err error) {
	if name, _ := parseObjectKey(o.Key); !isGroupName(name) {
		return r, errs.New(errs.InvalidMessage, "the object is no group's")
	}
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, errs.Wrap(err, errs.InvalidMessage, "decode the object of a group")
	}
	if position := objectstore.Position(o.Version); tenure.OfLaterEra(r, position.Era()) {
		return r, errs.New(errs.InvalidMessage, "the epoch of a group is of a later era of the store")
	}
	return r, r.Check()
}

const (
	// checkInterval is the time between two checks of all groups.
	checkInterval = 50 * time.Millisecond
	// pauseLimit is the time between two checks from which the process counts as
	// paused. It may have lost its groups during the pause.
	pauseLimit = 700 * time.Millisecond
)

// Run carries out the actions that the groups' tenure state machines ask for, until
// ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.detectPause()
		ownsGroup := m.OwnsAny()
		for _, g := range m.allGroups() {
			g.startAction(ctx, ownsGroup)
			g.startConfirmation(ctx)
		}
	}
}

// detectPause detects pauses of the process. It compares both clocks, because the
// monotonic clock may stop during a pause, and the wall clock does not but may jump.
func (m *Manager) detectPause() {
	now := time.Now()
	monotonic, wallClock := now.Sub(m.lastCheck), now.Round(0).Sub(m.lastCheck.Round(0))
	m.lastCheck = now
	if monotonic < pauseLimit && wallClock < pauseLimit {
		return
	}
	if m.ownershipVerified.Swap(false) {
		go m.verifyOwnership()
	}
}

// verifyOwnership reads the objects of the owned groups, after which orders are sent again.
func (m *Manager) verifyOwnership() {
	defer m.ownershipVerified.Store(true)
	defer m.contain("record")
	for _, g := range m.allGroups() {
		if g.owned() {
			g.readRecord()
		}
	}
}

// Drain releases all owned groups, at the same time.
func (m *Manager) Drain() {
	m.draining.Store(true)
	var releases sync.WaitGroup
	for _, g := range m.allGroups() {
		if g.owned() {
			releases.Go(func() { g.runAction(context.Background(), tenure.Release) })
		}
	}
	releases.Wait()
}

// Incarnation returns the incarnation of this process.
func (m *Manager) Incarnation() uint64 { return m.opt.Incarnation }

// Leaving reports whether Drain was called and no takeover is under way. This process
// takes over no group any more.
func (m *Manager) Leaving() bool {
	return m.draining.Load() && !slices.ContainsFunc(m.allGroups(), func(g *group) bool { return g.actionRunning.Load() })
}

// OwnedGroups returns the names of the groups that this VM owns.
func (m *Manager) OwnedGroups() []string {
	var names []string
	for _, g := range m.allGroups() {
		if g.owned() {
			names = append(names, g.name)
		}
	}
	return names
}

// OwnsAny reports whether this VM owns a group.
func (m *Manager) OwnsAny() bool { return len(m.OwnedGroups()) > 0 }

// IsDeputy reports whether a VM is a deputy of the group's owner. Deputies watch the
// store in addition to the owner. They are the first, in the order of their names,
// of the VMs that called the owner recently.
func (m *Manager) IsDeputy(group, vm string) bool {
	g := m.lookup(group)
	return g != nil && g.isDeputy(vm)
}

// Status describes a group as this VM knows it.
type Status struct {
	Name   string
	Record tenure.Record
	Exists bool
	Owned  bool
	// VMs is the number of VMs that take part in a group that this VM owns, and Rank the
	// position of this VM among them, by name.
	VMs, Rank int
	// HasTargets is set if the group has targets.
	HasTargets bool
	// FormerOwnerAtWork is set if this VM owns the group, and the former owner may not know.
	FormerOwnerAtWork bool
}

// Status returns the status of all groups.
func (m *Manager) Status() []Status {
	var all []Status
	for _, g := range m.allGroups() {
		all = append(all, g.status())
	}
	return all
}

// OwnerResponded records the reply of a group's owner to a sync call.
func (m *Manager) OwnerResponded(name string, epoch int64, reply *grouprpc.SyncReply) {
	if g := m.lookup(name); g != nil {
		g.ownerResponded(epoch, reply)
	}
}

// Promise returns this VM's promise to the owner of a group, to be sent with the next
// sync call.
func (m *Manager) Promise(name string, epoch int64) tenure.Promise {
	if g := m.lookup(name); g != nil {
		return g.promiseFor(epoch)
	}
	return tenure.Promise{}
}

// Kill stops all cores without releasing their groups, as if the process had died.
func (m *Manager) Kill() {
	for _, g := range m.allGroups() {
		g.kill()
	}
}

// OwnerCallFailed records that a group's owner did not respond to a call.
func (m *Manager) OwnerCallFailed(name string, epoch int64) {
	if g := m.lookup(name); g != nil {
		g.ownerCallFailed(epoch)
	}
}

// groupCount returns the number of groups.
func (m *Manager) groupCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.groups)
}

// LimitedTargets returns the rate limits of the targets of the owned groups, by target.
func (m *Manager) LimitedTargets() map[string]placer.LimitedTarget {
	all := map[string]placer.LimitedTarget{}
	for _, g := range m.allGroups() {
		maps.Copy(all, g.limitedTargets())
	}
	return all
}

// QueueStats returns the number of requests that wait in the owned groups, and the age
// of the oldest one.
func (m *Manager) QueueStats() (waiting int, oldest time.Duration) {
	for _, g := range m.allGroups() {
		n, age := g.queueStats()
		waiting, oldest = waiting+n, max(oldest, age)
	}
	return waiting, oldest
}
