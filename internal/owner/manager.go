package owner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/permit"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// Manager takes target groups over and answers for those that this VM owns.
type Manager struct {
	self     model.Holder
	store    objectstore.Store
	holdings *permit.Holdings
	ports    Ports
	newCore  func(group string) core.Decider
	start    time.Time

	mu       sync.Mutex
	owned    map[string]*runtime
	ending   map[*runtime]string // stepped down, orders may be outstanding
	taking   map[string]bool
	groups   map[string]group.Group
	shares   map[string]float64
	draining bool
	losses   map[string]loss
}

// NewManager returns a manager that owns nothing yet.
func NewManager(self model.Holder, store objectstore.Store, holdings *permit.Holdings, ports Ports, newCore func(group string) core.Decider) *Manager {
	return &Manager{
		self: self, store: store, holdings: holdings, ports: ports, newCore: newCore, start: time.Now(),
		owned: map[string]*runtime{}, ending: map[*runtime]string{}, taking: map[string]bool{}, groups: map[string]group.Group{}, losses: map[string]loss{},
	}
}

// VMKeyPrefix is the store prefix of the VMs' registrations.
const VMKeyPrefix = "vms/"

// Registered reads all VM registrations at a revision of at least minRevision.
func Registered(ctx context.Context, store objectstore.Store, minRevision int64) ([]model.VM, error) {
	objects, _, err := objectstore.ListAll(ctx, store, VMKeyPrefix, minRevision)
	if err != nil {
		return nil, err
	}
	all := make([]model.VM, 0, len(objects))
	for _, object := range objects {
		var vm model.VM
		if err := json.Unmarshal(object.Value, &vm); err != nil {
			return nil, errs.Wrap(err, errs.InvalidMessage, "decode registration "+object.Key)
		}
		all = append(all, vm)
	}
	return all, nil
}

// SetGroups tells the groups of the newest listing.
func (m *Manager) SetGroups(groups []group.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.groups = make(map[string]group.Group, len(groups))
	for _, g := range groups {
		m.groups[g.Name] = g
	}
	for name, r := range m.owned {
		r.setTargets(m.groups[name].Targets)
	}
}

func (r *runtime) setTargets(targets []model.Target) {
	r.mu.Lock()
	r.targets = make(map[string]model.Target, len(targets))
	for _, target := range targets {
		r.targets[target.Name] = target
	}
	r.resident.retain(r.targets)
	r.mu.Unlock()
	r.post(core.TargetsChanged{Targets: targets})
}

// SetShares tells the organisations' shares of the configuration in force.
func (m *Manager) SetShares(shares map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shares = shares
	for _, r := range m.owned {
		r.post(core.SharesChanged{Shares: shares})
	}
}

// HolderGone tells that an incarnation is confirmed gone.
func (m *Manager) HolderGone(holder model.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.owned {
		r.post(core.HolderGone{Holder: holder})
	}
}

// takeOverTimeout bounds one takeover attempt.
const takeOverTimeout = 10 * time.Second

// TakeOver starts to take a group over, unless it is owned here or a takeover
// is in progress.
func (m *Manager) TakeOver(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[name] != nil || m.taking[name] || m.draining || time.Now().Before(m.losses[name].retryAt) {
		return
	}
	if _, listed := m.groups[name]; !listed {
		return
	}
	m.taking[name] = true
	go m.takeOver(name)
}

func (m *Manager) takeOver(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), takeOverTimeout)
	defer cancel()
	err := m.tryTakeOver(ctx, name)
	m.mu.Lock()
	delete(m.taking, name)
	m.mu.Unlock()
	if err != nil {
		m.ports.Log.Warn().Err(err).Str("group", name).Msg("takeover failed")
	}
}

func (m *Manager) tryTakeOver(ctx context.Context, name string) error {
	handle, former, err := group.TakeOver(ctx, m.store, name, m.self)
	if err != nil {
		return err
	}
	registered, err := Registered(ctx, m.store, handle.Revision())
	if err != nil {
		return err
	}
	holders := make([]model.Holder, 0, len(registered))
	for _, vm := range registered {
		holders = append(holders, model.Holder{VM: vm.Name, Incarnation: vm.Incarnation})
	}
	m.begin(handle, core.TakenOver{
		Epoch: handle.Record().Epoch, FormerOwner: former.Owner, FormerIntents: former.Intents, Registered: holders,
	})
	return nil
}

// begin starts the runtime of a group that was taken over.
func (m *Manager) begin(handle *group.Handle, taken core.TakenOver) {
	name := handle.Record().Group
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holdings.Minimum(name) > taken.Epoch {
		return // another VM took the group over meanwhile
	}
	var r *runtime
	r = newRuntime(m.ports, handle, m.newCore(name), m.start, func() { m.stepDown(name, r) })
	r.post(taken)
	r.setTargets(m.groups[name].Targets)
	r.post(core.SharesChanged{Shares: m.shares})
	m.owned[name] = r
	m.ports.Log.Info().Str("group", name).Uint64("epoch", uint64(taken.Epoch)).Msg("took group over")
	m.ports.Events.Record(timeline.Event{Kind: timeline.GroupTakenOver, Group: name, Epoch: taken.Epoch})
	go r.run()
}

// stepDown ends a runtime and waits for its orders.
func (m *Manager) stepDown(name string, r *runtime) {
	m.mu.Lock()
	if m.owned[name] == r {
		delete(m.owned, name)
		m.losses[name] = m.losses[name].next(time.Since(r.began))
	}
	m.ending[r] = name
	m.mu.Unlock()
	r.stop()
	m.mu.Lock()
	delete(m.ending, r)
	m.mu.Unlock()
}

// ConfirmEpoch refuses older epochs of a group from now on. An own runtime of
// an older epoch is ended first, so that none of its orders is outstanding.
func (m *Manager) ConfirmEpoch(request rpcapi.ConfirmEpochRequest) rpcapi.ConfirmEpochReply {
	reply := rpcapi.ConfirmEpochReply{Holder: m.self}
	held, err := m.holdings.Confirm(request.Group, request.Epoch)
	if err != nil {
		reply.Err = errs.As(err)
		return reply
	}
	reply.Permits = held
	for _, r := range m.former(request.Group, request.Epoch) {
		m.stepDown(request.Group, r)
	}
	return reply
}

// former returns the runtimes of older epochs of a group, including those that
// still wait for their orders to end.
func (m *Manager) former(name string, epoch model.Epoch) []*runtime {
	m.mu.Lock()
	defer m.mu.Unlock()
	var older []*runtime
	if r := m.owned[name]; r != nil && r.epoch < epoch {
		older = append(older, r)
	}
	for r, ending := range m.ending {
		if ending == name && r.epoch < epoch {
			older = append(older, r)
		}
	}
	return older
}

func (m *Manager) runtime(name string) (*runtime, *errs.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.owned[name]; r != nil {
		return r, nil
	}
	return nil, errs.NotRun(errs.NotOwner, m.self.VM+" does not own "+name)
}

// Acquire waits in the group's queue.
func (m *Manager) Acquire(ctx context.Context, request rpcapi.AcquireRequest) rpcapi.AcquireReply {
	r, refusal := m.runtime(request.Group)
	if refusal != nil {
		return rpcapi.AcquireReply{Err: refusal}
	}
	return r.acquire(ctx, request.Request)
}

// Release ends a permit. It is idempotent.
func (m *Manager) Release(request rpcapi.ReleaseRequest) rpcapi.ReleaseReply {
	r, refusal := m.runtime(request.Group)
	if refusal != nil {
		return rpcapi.ReleaseReply{Err: refusal}
	}
	r.post(request.Release)
	return rpcapi.ReleaseReply{}
}

// Cancel ends a wait. It is idempotent.
func (m *Manager) Cancel(request rpcapi.CancelRequest) rpcapi.CancelReply {
	r, refusal := m.runtime(request.Group)
	if refusal != nil {
		return rpcapi.CancelReply{Err: refusal}
	}
	r.cancelRequest(request.ID)
	return rpcapi.CancelReply{}
}

// Progress enters the cadence of running requests.
func (m *Manager) Progress(request rpcapi.ProgressRequest) *errs.Error {
	r, refusal := m.runtime(request.Group)
	if refusal != nil {
		return refusal
	}
	for _, report := range request.Reports {
		r.post(report)
	}
	return nil
}

// Resident lists the group's resident adapters.
func (m *Manager) Resident(request rpcapi.ResidentRequest) rpcapi.ResidentReply {
	r, refusal := m.runtime(request.Group)
	if refusal != nil {
		return rpcapi.ResidentReply{Err: refusal}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return rpcapi.ResidentReply{Version: r.resident.version, Adapters: r.resident.adapters()}
}

// Digests summarises the owned groups for the heartbeat.
func (m *Manager) Digests() []rpcapi.GroupDigest {
	m.mu.Lock()
	defer m.mu.Unlock()
	digests := make([]rpcapi.GroupDigest, 0, len(m.owned))
	for _, r := range m.owned {
		digests = append(digests, r.digest())
	}
	return digests
}

// Owns reports whether this VM owns the group.
func (m *Manager) Owns(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owned[name] != nil
}

// Drain stops takeovers. Owned groups stay served until their next owners have
// taken them over.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// Owned returns the number of owned groups.
func (m *Manager) Owned() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.owned)
}

// Stop ends all runtimes.
func (m *Manager) Stop() {
	m.mu.Lock()
	owned := make(map[string]*runtime, len(m.owned))
	for name, r := range m.owned {
		owned[name] = r
	}
	m.mu.Unlock()
	for name, r := range owned {
		m.stepDown(name, r)
	}
}
