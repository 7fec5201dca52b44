package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cicadaslip/internal/acceptretry"
	"cicadaslip/internal/account"
	"cicadaslip/internal/admin"
	"cicadaslip/internal/arrivals"
	"cicadaslip/internal/config"
	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/frontend"
	"cicadaslip/internal/journal"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpstore"
	"cicadaslip/internal/owner"
	"cicadaslip/internal/peer"
	"cicadaslip/internal/permit"
	"cicadaslip/internal/settings"
	"cicadaslip/internal/target"
	"cicadaslip/internal/timeline"
)

// Daemon is one cicadaslipd process.
type Daemon struct {
	settings *settings.Settings
	log      zerolog.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	start    time.Time

	store    objectstore.Store
	lister   objectstore.Lister
	clock    *timeline.Clock
	events   *timeline.Ring
	arrivals *arrivals.Log
	metrics  *metrics.Registry
	// recorder records events in the timeline and updates the metrics that are
	// derived from them.
	recorder *eventMetrics
	targets  *target.Client

	listener        net.Listener
	metricsListener net.Listener // nil if the settings name no metrics address
	server          *peer.Server
	client          *peer.Client
	heartbeats      *peer.Heartbeats

	self                 model.VM
	registrationRevision int64 // store revision of this VM's registration

	follower     *config.Follower
	members      *members
	routingTable *permit.RoutingTable
	holdings     *permit.Holdings
	broker       *permit.Broker
	owners       *owner.Manager
	coordinator  *coordinator
	journal      *journalManager
	accounts     *account.Ledger
	flusher      *account.Flusher
	stopFlusher  func()
	frontend     *frontend.Server
	readiness    *readiness

	superseded     chan struct{} // closed when a later incarnation is registered
	supersededOnce sync.Once
	drainRequested chan struct{} // closed when an operator requests a drain
	drainOnce      sync.Once
	background     sync.WaitGroup
}

// maxRecordedArrivals is the number of requests whose arrival is kept for
// recorded traces.
const maxRecordedArrivals = 10_000

// New creates a daemon and opens its TCP listeners. Call Run to start it.
func New(s *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, log: log, ctx: ctx, cancel: cancel, start: time.Now(),
		clock: timeline.NewClock(time.Now), targets: target.New(target.Config{}),
		routingTable: permit.NewRoutingTable(), holdings: permit.NewHoldings(), coordinator: newCoordinator(), drainRequested: make(chan struct{}),
		superseded: make(chan struct{}),
	}
	d.events = timeline.NewRing(s.Timeline.RingLength, s.VM.Name, d.clock)
	d.arrivals = arrivals.NewLog(maxRecordedArrivals, s.VM.DataCentre)
	d.metrics = metrics.New()
	d.recorder = newEventMetrics(d.events, d.metrics)
	client := httpstore.New(httpstore.Options{
		Address: s.Platform.Address, CallTimeout: s.Platform.CallTimeout,
		DialTimeout: s.Platform.DialTimeout, Connections: s.Platform.Connections,
	})
	d.store = meteredStore{client, d.metrics}
	d.lister = meteredLister{client.Lister(), d.metrics}
	d.follower = config.NewFollower(config.Options{
		Store: d.store, Peers: configPeers{d}, OnApply: d.onConfigApplied, WatchWait: d.settings.Platform.WatchWait,
		OnError: func(err error) { d.log.Warn().Err(err).Msg("reading the configuration failed") },
	})
	if err := d.openSockets(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// openSockets creates the RPC client, opens the TCP listeners for callers,
// peers and metrics, and sets the identity and addresses of this VM.
func (d *Daemon) openSockets() error {
	credentials, err := peer.NewCredentials([]byte(d.settings.Cluster.Secret))
	if err != nil {
		return err
	}
	d.client = peer.NewClient(credentials, d.clock, peer.ClientSettings{})
	if d.listener, err = net.Listen("tcp", d.settings.Addresses.Caller); err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "listen for callers")
	}
	d.listener = acceptretry.New(d.listener, d.acceptFailed)
	if d.server, err = peer.Listen(d.settings.Addresses.PeerRPC, credentials, d.clock); err != nil {
		return err
	}
	if err := d.openMetrics(); err != nil {
		return err
	}
	d.self = model.VM{
		Name: d.settings.VM.Name, DataCentre: d.settings.VM.DataCentre, Region: d.settings.VM.Region,
		CallerAddr: d.listener.Addr().String(), PeerRPCAddr: d.server.Addr(),
	}
	d.self.Incarnation = model.Incarnation(time.Now().UnixNano())
	return nil
}

// acceptFailed logs that a connection could not be accepted for lack of resources.
func (d *Daemon) acceptFailed(err error) {
	d.log.Warn().Err(err).Msg("a connection could not be accepted")
}

// holder returns the name and incarnation of this VM.
func (d *Daemon) holder() model.Holder {
	return model.Holder{VM: d.self.Name, Incarnation: d.self.Incarnation}
}

// now returns the time since the daemon was created.
func (d *Daemon) now() core.Time { return time.Since(d.start) }

// Run registers the VM, starts all background loops and serves callers until
// stop is closed or an operator requests a drain; then it drains. It returns an
// error if the daemon could not start, if serving callers failed, if a later
// incarnation of this VM is registered, or if the drain limit passed with
// requests in flight.
func (d *Daemon) Run(stop <-chan struct{}) error {
	defer d.Close()
	if err := d.register(stop); err != nil {
		return err
	}
	if err := d.buildComponents(); err != nil {
		return err
	}
	d.startBackgroundLoops()
	serveErr := make(chan error, 1)
	go func() { serveErr <- d.frontend.Serve(d.listener) }()
	d.log.Info().Str("callers", d.self.CallerAddr).Str("peers", d.self.PeerRPCAddr).Msg("daemon started")
	select {
	case err := <-serveErr:
		return err
	case <-stop:
		return d.drain()
	case <-d.drainRequested:
		return d.drain()
	case <-d.superseded:
		return errs.New(errs.Conflict, "a later incarnation of this VM is registered")
	}
}

// buildComponents creates the components that need the VM's incarnation, and
// registers the RPC services.
func (d *Daemon) buildComponents() error {
	d.broker = permit.NewBroker(d.self, d.routingTable, d.holdings, ownerCalls{d}, d.recorder)
	d.buildAccounts()
	d.buildOwners()
	d.readiness = newReadiness(d)
	d.journal = &journalManager{d: d}
	d.buildFrontend()
	return d.registerServices()
}

func (d *Daemon) buildOwners() {
	ports := owner.Ports{
		Orders: targetOrders{d.targets, d.metrics}, Peers: ownerPeers{d}, LoadPermits: newLoadPermits(d), Accounting: d.accounts,
		Liveness: d.members,
		Events:   d.recorder, Log: d.log,
	}
	seed := uint64(d.self.Incarnation)
	d.owners = owner.NewManager(d.holder(), d.store, d.holdings, ports, func(group string) core.Decider {
		return core.New(core.Params{
			Group: group, MaxQueued: d.settings.Limits.QueueLength, Policies: core.ProductionPolicies(),
		}, seed)
	})
}

func (d *Daemon) buildFrontend() {
	limits := d.settings.Limits
	d.frontend = frontend.New(frontend.Options{
		Holder: d.holder(), Permits: &meteredPermits{Broker: d.broker, d: d}, Claims: journalClaims{d.journal}, Configuration: d.follower,
		Usage: d.accounts, Targets: d.targets, Readiness: d.readiness, Timeline: d.recorder, Log: d.log,
		TargetGone: d.members.isTargetGone, Seed: uint64(d.self.Incarnation),
		Limits: frontend.Limits{
			MaxConnections: limits.Connections, MaxHeaderBytes: int(limits.HeaderBytes),
			MaxBodyBytes: int(limits.BodyBytes), ReadTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout,
			WriteStallTimeout: limits.WriteTimeout, MaxDeadline: limits.RequestTimeout,
		},
	})
}

// registerServices registers all RPC services and starts to serve peers.
func (d *Daemon) registerServices() error {
	services := map[string]any{
		ownerService: &ownerRPC{d}, nodeService: &nodeRPC{d}, journal.ServiceName: &journalRPC{d.journal}, configService: &configRPC{d},
		account.ServiceName: account.NewService(d.accounts),
		admin.ServiceName: admin.NewService(admin.Sources{
			Overview: overview{d}, Events: d.events, Account: d.accounts, Drainer: drainer{d}, Arrivals: d.arrivals,
		}),
	}
	for name, service := range services {
		if err := d.server.Register(name, service); err != nil {
			return err
		}
	}
	d.server.Serve()
	return nil
}

// runInBackground runs loop in a goroutine. Close cancels its context and waits
// until it has returned.
func (d *Daemon) runInBackground(loop func(ctx context.Context)) {
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		loop(d.ctx)
	}()
}

func (d *Daemon) startBackgroundLoops() {
	d.runInBackground(d.follower.Run)
	d.runInBackground(d.readiness.awaitCurrentConfig)
	d.runInBackground(d.broker.Run)
	d.runInBackground(d.journal.assignShards)
	d.runInBackground(d.watchRegistrations)
	d.runInBackground(d.pollListing)
	d.runInBackground(d.runMembership)
	d.runInBackground(d.runDuties)
	d.runInBackground(d.fetchResidentSets)
	d.runInBackground(d.runMetrics)
	d.runInBackground(d.runCleanup)
	d.startAccounts()
}

// onConfigApplied is called with each configuration that comes into force, and
// passes its values on to the components.
func (d *Daemon) onConfigApplied(configuration *model.Configuration) {
	shares := make(map[string]float64, len(configuration.Organisations))
	for name, organisation := range configuration.Organisations {
		shares[name] = organisation.Share
	}
	d.owners.SetShares(shares)
	d.coordinator.setRate(configuration.LoadRate)
	d.journal.configure(configuration)
	d.events.Record(timeline.Event{Kind: timeline.ConfigApplied, Detail: formatVersion(configuration.Version)})
	d.log.Info().Uint64("version", configuration.Version).Msg("configuration in force")
}

// loadRate returns the number of adapter loads per second that the
// configuration allows, or 0 if no configuration is in force.
func (d *Daemon) loadRate() float64 {
	if configuration := d.follower.Current(); configuration != nil {
		return configuration.LoadRate
	}
	return 0
}

// Close stops the daemon at once, without a drain, and waits for its background
// loops.
func (d *Daemon) Close() {
	d.cancel()
	if d.frontend != nil {
		d.frontend.Close()
	}
	if d.owners != nil {
		d.owners.Stop()
	}
	if d.heartbeats != nil {
		_ = d.heartbeats.Close()
	}
	if d.server != nil {
		d.server.Close()
	}
	if d.client != nil {
		d.client.Close()
	}
	if d.listener != nil {
		_ = d.listener.Close()
	}
	if d.metricsListener != nil {
		_ = d.metricsListener.Close()
	}
	d.background.Wait()
}
