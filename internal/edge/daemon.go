package edge

import (
	"context"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"cicadaslip/internal/acceptretry"
	"cicadaslip/internal/advisory"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/groupclient"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/kindwatch"
	"cicadaslip/internal/membudget"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/peer"
	"cicadaslip/internal/timeline"
	"cicadaslip/internal/upstream"
)

const (
	// memoryLimitShare is the soft memory limit of the Go runtime as a share of the
	// VM's memory. The garbage collector runs more often when the heap approaches it.
	memoryLimitShare = 0.5
	// gcPercent is the growth of the heap over the live data, in percent, at which
	// the next garbage collection starts.
	gcPercent = 75
	// peerDialTimeout limits an attempt to connect to another VM, and an announcement
	// to it as a whole.
	peerDialTimeout = 400 * time.Millisecond
	// peerProbeInterval is the time between probes of a connection to another VM while
	// calls wait on it, and the time limit of each probe.
	peerProbeInterval = 500 * time.Millisecond
	// targetExpiryInterval is the time between checks for missing targets that were
	// kept after an outage of the store and have expired.
	targetExpiryInterval = 100 * time.Millisecond
)

// Dependencies are the parts of the daemon that depend on the outer platform.
type Dependencies struct {
	Store       objectstore.Store
	Orders      groupserver.EngineClient // sends orders to model engines
	Dialect     gateway.Dialect
	ObjectKinds ObjectKinds
	// Dial opens connections to targets.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// KeptConnections returns the number of connections that are kept open for orders. It is optional.
	KeptConnections func() int64
}

// Daemon is the process of one entry VM, a VM that accepts requests from callers.
type Daemon struct {
	settings  *Settings
	log       zerolog.Logger
	startedAt time.Time
	kinds     ObjectKinds
	store     objectstore.Store

	health   storeHealth
	metrics  *metrics.Registry
	ignored  ignoredEntries
	upstream *upstream.Client
	maxKept  int64             // connections for orders, no limit if it is 0
	keptNow  func() int64      // open ones, nil if they are not counted
	memory   *membudget.Budget // nil without a limit
	config   configCache
	// fetchingConfig is set while a configuration is fetched from an owner.
	fetchingConfig atomic.Bool
	restores       restoreTracker

	requestLogSampler sampler
	grantLogSampler   sampler
	memoryLogSampler  sampler

	relay          relay
	followers      map[string]*kindwatch.Follower // by kind
	deployment     *deployment
	publishing     sync.Mutex
	versions       *versionTable
	groups         *groupserver.Manager
	placement      *groupclient.Client
	quarantine     *quarantineKeeper
	hedging        gateway.Hedging // nil if the settings allow no hedges
	quotas         *quotaKeeper
	gateway        *gateway.Server
	callerListener net.Listener
	readyListener  net.Listener
	peerClient     *peer.Client
	peerServer     *peer.Server
	readyServer    *fasthttp.Server
	draining       atomic.Bool
	groupsSettled  atomic.Bool // all groups have had an owner at some time, or the wait for owners has ended
	background     sync.WaitGroup
	cancel         context.CancelFunc // nil until Run is called
}

// New returns a daemon with open sockets. Run starts serving. New also sets the memory
// limit and the garbage collection target of the process.
func New(s *Settings, deps Dependencies, log zerolog.Logger) (*Daemon, error) {
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	d := &Daemon{settings: s, log: log, startedAt: time.Now(), kinds: deps.ObjectKinds, store: deps.Store, versions: newVersionTable(), metrics: metrics.NewWith(metrics.EdgeDefinitions), followers: map[string]*kindwatch.Follower{}}
	d.health.onChange = d.storeHealthChanged
	if store, ok := deps.Store.(objectstore.Restorable); ok {
		store.OnRestore(d.storeRestored)
	}
	incarnation := uint64(time.Now().UnixNano())
	clock := timeline.NewClock(time.Now)
	d.log = log.Hook(stampHook{clock})
	d.peerClient = peer.NewClient(nil, clock, peer.ClientSettings{
		DialTimeout: peerDialTimeout, ProbeTimeout: peerProbeInterval, BusyProbeInterval: peerProbeInterval, IdleProbeInterval: 2 * time.Second,
	})
	if err := d.listen(clock); err != nil {
		return nil, err
	}
	d.quotas = newQuotaKeeper(d)
	d.groups = groupserver.New(groupserver.Options{
		Quota: d.quotas, QuotaBounds: s.Quota,
		VM: s.VM, Incarnation: incarnation, Address: s.PeerAddress, Lease: s.Lease, Cores: s.Cores, Regions: s.Regions,
		Store: deps.Store, Engines: deps.Orders, Observer: groupObserver{d},
		TargetsCheckFences: s.TargetsCheckFences, FirstStart: s.Bootstrap, StoreCalled: func(err error) { d.recordStoreCall(groupserver.Kind, err) },
		RateLimits: d.rateLimits, PausedFor: d.pausedFor, TakeCall: d.takeCall, Heard: d.heardInCall, Announce: d.announce, SettleDelay: s.GroupSettleTime, StoreReachable: d.health.healthy, StoreLost: d.health.unreachable,
	})
	d.quarantine = newQuarantineKeeper(d, incarnation)
	d.placement = groupclient.New(groupclient.Options{
		VM: s.VM, DataCentre: s.DataCentre, Groups: d.groups, Peers: d.peerClient,
		Observer: ownerObserver{d}, Target: d.usableTarget, SeenRevisions: d.newestRevisions, HandlePeerRevisions: d.compareNewestRevisions,
		KnownRevisions: d.appliedRevisions, UpdateFor: d.updateForOwner, HandleReply: d.handleSyncReply, Contain: d.contain, ConfigVersion: d.configVersion,
		RequiredVersion: d.versions.required, Quarantine: d.quarantine,
		LeavingSince: d.leavingSince, MergeLeaving: d.mergeLeaving, Pauses: d.pauses,
		CountOwn:   d.quotas.countOwn,
		RateLimits: d.rateLimits, TakeFromLimit: d.takeFromLimit, CountAgainstLimit: d.countAgainstLimit,
	})
	connections := 0
	if s.Descriptors > 0 {
		connections = membudget.Connections(s.Descriptors)
	}
	if s.MemoryBytes > 0 {
		d.memory = membudget.New(membudget.ForMemory(s.MemoryBytes))
	}
	targetConnections, kept := membudget.TargetConnections(s.MemoryBytes, s.Descriptors)
	d.upstream, d.maxKept, d.keptNow = &upstream.Client{Dial: deps.Dial, MaxOpen: int64(targetConnections)}, int64(kept), deps.KeptConnections
	d.deployment = newDeployment(s, d.startedAt, d.placement.Position, d.leavingChanged, d.versions, d.metrics)
	d.deployment.pausesChanged = d.logPauseChanges
	d.deployment.outdated = func() bool { return d.relay.isBehind(d.configVersion()) }
	d.hedging = newHedging(d.deployment, s.HedgeLimit, d.quotas.scarce)
	d.gateway = gateway.New(gateway.Options{
		Fleet: d.deployment, Placement: d.placement, Dialect: deps.Dialect,
		Upstream: d.upstream, Observer: requestObserver{d}, Quarantine: d.quarantine, Hedging: d.hedging, Quota: gatewayQuota{d.quotas},
		MaxConnections: connections, Memory: d.memory,
	})
	return d, d.peerServer.Register(grouprpc.Service, &groupService{d})
}

// listen opens the sockets for other VMs, callers and the readiness check, and writes
// the bound peer address back to the settings.
func (d *Daemon) listen(clock peer.Clock) error {
	s := d.settings
	var err error
	if d.peerServer, err = peer.Listen(s.PeerAddress, nil, clock); err != nil {
		return err
	}
	if d.callerListener, err = net.Listen("tcp", s.CallerAddress); err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "listen for callers")
	}
	if d.readyListener, err = net.Listen("tcp", s.ReadyAddress); err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "listen for the readiness check")
	}
	d.callerListener = acceptretry.New(d.callerListener, d.acceptFailed)
	d.readyListener = acceptretry.New(d.readyListener, d.acceptFailed)
	s.PeerAddress = d.peerServer.Addr()
	return nil
}

// CallerAddress returns the ip:port on which callers are served.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// ReadyAddress returns the ip:port on which the readiness check is served.
func (d *Daemon) ReadyAddress() string { return d.readyListener.Addr().String() }

// Run serves until stop is closed, and then drains. It returns an error if the metrics
// port cannot be opened or if serving callers fails.
func (d *Daemon) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	defer d.close()
	d.peerServer.Serve()
	d.serveReady(d.readyListener)
	if err := d.serveMetrics(ctx); err != nil {
		return err
	}
	d.startWatches(ctx)
	d.runInBackground(ctx, "groups", d.groups.Run)
	d.runInBackground(ctx, "placement", d.placement.Run)
	d.runInBackground(ctx, "quarantine", d.quarantine.run)
	d.runInBackground(ctx, "quotas", d.quotas.run)
	d.runInBackground(ctx, "target_expiry", d.expireMissingTargets)
	d.runInBackground(ctx, "limit_log", d.logLimits)
	d.runInBackground(ctx, "memory_log", d.logMemory)
	served := make(chan error, 1)
	go func() { served <- d.gateway.Serve(d.callerListener) }()
	d.log.Info().Str(fieldEvent, "started").Str(fieldAddress, d.settings.CallerAddress).
		Str(fieldDataCentre, d.settings.DataCentre).Send()
	select {
	case err := <-served:
		return err
	case <-stop:
	}
	d.drain()
	return nil
}

// restartDelay is the pause before background work is started again after a panic.
const restartDelay = 200 * time.Millisecond

// runInBackground runs f in a goroutine that d.background counts. If f panics, it is
// started again until ctx ends.
func (d *Daemon) runInBackground(ctx context.Context, name string, f func(context.Context)) {
	contained := func() (err error) {
		defer d.contain(name, &err)
		f(ctx)
		return nil
	}
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		for contained() != nil && pause.For(ctx, restartDelay) {
		}
	}()
}

// announce sends a group's record to another VM. A VM that cannot be reached reads the
// record from the store later.
func (d *Daemon) announce(address string, request grouprpc.AnnounceRequest) (grouprpc.AnnounceReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), peerDialTimeout)
	defer cancel()
	var reply grouprpc.AnnounceReply
	err := d.peerClient.Call(ctx, address, grouprpc.AnnounceMethod, request, &reply)
	if err != nil {
		d.log.Info().Str(fieldEvent, "announce_failed").Str(fieldGroup, request.Group).Str(fieldAddress, address).Err(err).Send()
	}
	return reply, err
}

// close cancels the background work and closes the sockets after a drain.
func (d *Daemon) close() {
	d.cancel()
	_ = d.callerListener.Close()
	_ = d.readyListener.Close()
	d.peerServer.Close()
	d.peerClient.Close()
}

// Sources of a VM's view of the deployment: values of fieldSource.
const (
	sourceStore  = "store"  // read from the store by this VM
	sourceRelay  = "relay"  // sent by another VM
	sourceLapsed = "lapsed" // the time for which a missing target is kept has ended
	sourceAnswer = string(advisory.Answer)
	sourceOwner  = string(advisory.Owner)
)

// publishFleet logs the changes of targets, and passes the services, targets and
// announced adapter versions to the group manager. source is the value of fieldSource.
func (d *Daemon) publishFleet(source string) {
	d.publishing.Lock() // so that the newest state is published last
	defer d.publishing.Unlock()
	d.logTargetChanges(source)
	d.logPauseChanges()
	services, targets := d.deployment.servicesAndTargets()
	d.groups.SetFleet(services, targets)
	for _, announced := range d.versions.announcements() {
		d.groups.SetVersion(announced.adapter, announced.version, announced.age)
	}
}

// leavingChanged publishes that a target has begun or ceased to leave by its own word.
func (d *Daemon) leavingChanged(source string) {
	d.publishFleet(source)
	if source == sourceAnswer {
		d.placement.TellLeaving()
	}
}

// expireMissingTargets removes targets that are still missing some time after an outage of
// the store. It returns when ctx ends.
func (d *Daemon) expireMissingTargets(ctx context.Context) {
	ticker := time.NewTicker(targetExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.deployment.expireMissingTargets() {
			d.publishFleet(sourceLapsed)
		}
	}
}

// Kill stops the daemon at once without draining, as the death of its process would.
func (d *Daemon) Kill() {
	_ = d.callerListener.Close()
	_ = d.readyListener.Close()
	if d.cancel != nil {
		d.cancel()
	}
	d.peerServer.Close()
	d.peerClient.Close()
	d.groups.Kill()
}

// OwnedGroups returns the names of the target groups that this VM owns.
func (d *Daemon) OwnedGroups() []string { return d.groups.OwnedGroups() }

// stampHook adds a hybrid logical timestamp to each log line. Calls between VMs carry
// these timestamps too, so that the lines of all VMs can be put in causal order.
type stampHook struct{ clock *timeline.Clock }

// Run implements zerolog.Hook.
func (h stampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	stamp := h.clock.Now()
	e.Str(fieldStamp, strconv.FormatInt(stamp.Wall, 10)+"."+strconv.FormatUint(uint64(stamp.Counter), 10))
}
