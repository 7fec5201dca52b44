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

// Manager takes over target groups and serves the calls to the groups that this
// VM owns.
type Manager struct {
	self       model.Holder
	store      objectstore.Store
	holdings   *permit.Holdings
	ports      Ports
	newCore    func(group string) core.Decider
	clockStart time.Time // zero of the cores' time

	mu           sync.Mutex
	owned        map[string]*runtime
	steppingDown map[*runtime]string // groups of runtimes that wait for their orders to end
	takeovers    map[string]bool
	groups       map[string]group.Group
	shares       map[string]float64
	draining     bool
	backoffs     map[string]takeoverBackoff
}

// NewManager returns a manager that owns no groups.
func NewManager(self model.Holder, store objectstore.Store, holdings *permit.Holdings, ports Ports, newCore func(group string) core.Decider) *Manager {
	return &Manager{
		self: self, store: store, holdings: holdings, ports: ports, newCore: newCore, clockStart: time.Now(),
		owned: map[string]*runtime{}, steppingDown: map[*runtime]string{}, takeovers: map[string]bool{}, groups: map[string]group.Group{}, backoffs: map[string]takeoverBackoff{},
	}
}

// VMKeyPrefix is the key prefix of the VM registrations in the store.
const VMKeyPrefix = "vms/"

// RegisteredVMs reads all VM registrations at a revision of at least minRevision.
func RegisteredVMs(ctx context.Context, store objectstore.Store, minRevision int64) ([]model.VM, error) {
	objects, _, err := objectstore.ListAll(ctx, store, VMKeyPrefix, minRevision)
	if err != nil {
		return nil, err
	}
	vms := make([]model.VM, 0, len(objects))
	for _, object := range objects {
		var vm model.VM
		if err := json.Unmarshal(object.Value, &vm); err != nil {
			return nil, errs.Wrap(err, errs.InvalidMessage, "decode registration "+object.Key)
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// SetGroups replaces the known groups by those of the newest listing.
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

// setTargets replaces the targets of the group and notifies the core.
func (r *runtime) setTargets(targets []model.Target) {
	r.mu.Lock()
	r.targets = make(map[string]model.Target, len(targets))
	for _, target := range targets {
		r.targets[target.Name] = target
	}
	r.resident.retainTargets(r.targets)
	r.mu.Unlock()
	r.post(core.TargetsChanged{Targets: targets})
}

// SetShares sets the organisations' shares of the active configuration.
func (m *Manager) SetShares(shares map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shares = shares
	for _, r := range m.owned {
		r.post(core.SharesChanged{Shares: shares})
	}
}

// NotifyHolderGone reports to the owned groups that an incarnation is confirmed
// gone.
func (m *Manager) NotifyHolderGone(holder model.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.owned {
		r.post(core.HolderGone{Holder: holder})
	}
}

// takeOverTimeout bounds one takeover attempt.
const takeOverTimeout = 10 * time.Second

// TakeOver starts a takeover of a group in the background. It does nothing if
// this VM owns the group, a takeover is in progress, the manager is draining,
// the backoff after a loss has not passed or the group is not listed.
func (m *Manager) TakeOver(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[name] != nil || m.takeovers[name] || m.draining || time.Now().Before(m.backoffs[name].retryAt) {
		return
	}
	if _, found := m.groups[name]; !found {
		return
	}
	m.takeovers[name] = true
	go m.takeOver(name)
}

// takeOver makes one takeover attempt and logs its failure.
func (m *Manager) takeOver(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), takeOverTimeout)
	defer cancel()
	err := m.tryTakeOver(ctx, name)
	m.mu.Lock()
	delete(m.takeovers, name)
	m.mu.Unlock()
	if err != nil {
		m.ports.Log.Warn().Err(err).Str("group", name).Msg("group takeover failed")
	}
}

// tryTakeOver claims the group in the store and starts its runtime.
func (m *Manager) tryTakeOver(ctx context.Context, name string) error {
	handle, previous, err := group.TakeOver(ctx, m.store, name, m.self)
	if err != nil {
		return err
	}
	vms, err := RegisteredVMs(ctx, m.store, handle.Revision())
	if err != nil {
		return err
	}
	registered := make([]model.Holder, 0, len(vms))
	for _, vm := range vms {
		registered = append(registered, model.Holder{VM: vm.Name, Incarnation: vm.Incarnation})
	}
	m.startRuntime(handle, core.TakenOver{
		Epoch: handle.Record().Epoch, FormerOwner: previous.Owner, FormerIntents: previous.Intents, Registered: registered,
	})
	return nil
}

// startRuntime starts the runtime of a group after its takeover, unless a newer
// epoch of the group has been confirmed.
func (m *Manager) startRuntime(handle *group.Handle, takenOver core.TakenOver) {
	name := handle.Record().Group
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holdings.MinimumEpoch(name) > takenOver.Epoch {
		return // another VM has taken over the group in the meantime
	}
	var r *runtime
	r = newRuntime(m.ports, handle, m.newCore(name), m.clockStart, func() { m.stepDown(name, r) })
	r.post(takenOver)
	r.setTargets(m.groups[name].Targets)
	r.post(core.SharesChanged{Shares: m.shares})
	m.owned[name] = r
	m.ports.Log.Info().Str("group", name).Uint64("epoch", uint64(takenOver.Epoch)).Msg("group taken over")
	m.ports.Events.Record(timeline.Event{Kind: timeline.GroupTakenOver, Group: name, Epoch: takenOver.Epoch})
	go r.run()
}

// stepDown stops a runtime and waits until its orders have ended.
func (m *Manager) stepDown(name string, r *runtime) {
	m.mu.Lock()
	if m.owned[name] == r {
		delete(m.owned, name)
		m.backoffs[name] = m.backoffs[name].afterLoss(time.Since(r.startedAt))
	}
	m.steppingDown[r] = name
	m.mu.Unlock()
	r.stop()
	m.mu.Lock()
	delete(m.steppingDown, r)
	m.mu.Unlock()
}

// ConfirmEpoch refuses older epochs of a group from now on and returns the permits
// that this VM holds for the group. Before it returns, it stops any local runtime
// of an older epoch, so that none of that runtime's orders is in flight.
func (m *Manager) ConfirmEpoch(request rpcapi.ConfirmEpochRequest) rpcapi.ConfirmEpochReply {
	reply := rpcapi.ConfirmEpochReply{Holder: m.self}
	permits, err := m.holdings.ConfirmEpoch(request.Group, request.Epoch)
	if err != nil {
		reply.Err = errs.As(err)
		return reply
	}
	reply.Permits = permits
	for _, r := range m.olderRuntimes(request.Group, request.Epoch) {
		m.stepDown(request.Group, r)
	}
	return reply
}

// olderRuntimes returns the runtimes of a group with an epoch below the given
// one, including those that are still waiting for their orders to end.
func (m *Manager) olderRuntimes(name string, epoch model.Epoch) []*runtime {
	m.mu.Lock()
	defer m.mu.Unlock()
	var older []*runtime
	if r := m.owned[name]; r != nil && r.epoch < epoch {
		older = append(older, r)
	}
	for r, groupName := range m.steppingDown {
		if groupName == name && r.epoch < epoch {
			older = append(older, r)
		}
	}
	return older
}

// ownedRuntime returns the runtime of a group, or an error with errs.NotOwner if
// this VM does not own the group.
func (m *Manager) ownedRuntime(name string) (*runtime, *errs.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.owned[name]; r != nil {
		return r, nil
	}
	return nil, errs.NotRun(errs.NotOwner, m.self.VM+" does not own group "+name)
}

// Acquire waits in the queue of the group until its core grants or refuses the
// request, or until ctx ends.
func (m *Manager) Acquire(ctx context.Context, request rpcapi.AcquireRequest) rpcapi.AcquireReply {
	r, refusal := m.ownedRuntime(request.Group)
	if refusal != nil {
		return rpcapi.AcquireReply{Err: refusal}
	}
	return r.acquire(ctx, request.Request)
}

// Release reports that the use of a permit has ended. It is idempotent.
func (m *Manager) Release(request rpcapi.ReleaseRequest) rpcapi.ReleaseReply {
	r, refusal := m.ownedRuntime(request.Group)
	if refusal != nil {
		return rpcapi.ReleaseReply{Err: refusal}
	}
	r.post(request.Release)
	return rpcapi.ReleaseReply{}
}

// Cancel cancels a waiting request. It is idempotent.
func (m *Manager) Cancel(request rpcapi.CancelRequest) rpcapi.CancelReply {
	r, refusal := m.ownedRuntime(request.Group)
	if refusal != nil {
		return rpcapi.CancelReply{Err: refusal}
	}
	r.cancelRequest(request.ID)
	return rpcapi.CancelReply{}
}

// Progress passes reports on the token cadence of running requests to the core.
func (m *Manager) Progress(request rpcapi.ProgressRequest) *errs.Error {
	r, refusal := m.ownedRuntime(request.Group)
	if refusal != nil {
		return refusal
	}
	for _, report := range request.Reports {
		r.post(report)
	}
	return nil
}

// Resident returns the resident adapters of a group.
func (m *Manager) Resident(request rpcapi.ResidentRequest) rpcapi.ResidentReply {
	r, refusal := m.ownedRuntime(request.Group)
	if refusal != nil {
		return rpcapi.ResidentReply{Err: refusal}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return rpcapi.ResidentReply{Version: r.resident.version, Adapters: r.resident.adapters()}
}

// Digests returns summaries of the owned groups for the heartbeat.
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

// Drain prevents further takeovers. Owned groups are served until other VMs take
// them over.
func (m *Manager) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// OwnedCount returns the number of groups that this VM owns.
func (m *Manager) OwnedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.owned)
}

// Stop stops the runtimes of all owned groups and waits for their orders to end.
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
