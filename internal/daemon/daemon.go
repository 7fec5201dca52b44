package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

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

// Daemon is one cicadaslipd.
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
	// recorder enters events into the timeline and the metrics.
	recorder *eventMetrics
	targets  *target.Client

	listener        net.Listener
	metricsListener net.Listener // nil without metrics
	server          *peer.Server
	client          *peer.Client
	heartbeats      *peer.Heartbeats

	self     model.VM
	revision int64 // of the own registration

	follower    *config.Follower
	members     *members
	table       *permit.RoutingTable
	holdings    *permit.Holdings
	broker      *permit.Broker
	owners      *owner.Manager
	coordinator *coordinator
	journal     *journalDuty
	accounts    *account.Ledger
	flusher     *account.Flusher
	stopFlusher func()
	frontend    *frontend.Server
	readiness   *readiness

	superseded     chan struct{} // closed when a later incarnation is registered
	supersededOnce sync.Once
	drainAsked     chan struct{} // closed by the command line
	drainOnce      sync.Once
	background     sync.WaitGroup
}

// arrivalsKept is the number of requests kept for recorded traces.
const arrivalsKept = 10_000

// New opens the daemon's sockets. Run starts it.
func New(s *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, log: log, ctx: ctx, cancel: cancel, start: time.Now(),
		clock: timeline.NewClock(time.Now), targets: target.New(target.Config{}),
		table: permit.NewRoutingTable(), holdings: permit.NewHoldings(), coordinator: newCoordinator(), drainAsked: make(chan struct{}),
		superseded: make(chan struct{}),
	}
	d.events = timeline.NewRing(s.Timeline.RingLength, s.VM.Name, d.clock)
	d.arrivals = arrivals.NewLog(arrivalsKept, s.VM.DataCentre)
	d.metrics = metrics.New()
	d.recorder = newEventMetrics(d.events, d.metrics)
	client := httpstore.New(httpstore.Options{
		Address: s.Platform.Address, CallTimeout: s.Platform.CallTimeout,
		DialTimeout: s.Platform.DialTimeout, Connections: s.Platform.Connections,
	})
	d.store = meteredStore{client, d.metrics}
	d.lister = meteredLister{client.Lister(), d.metrics}
	d.follower = config.NewFollower(config.Options{
		Store: d.store, Peers: configPeers{d}, OnApply: d.configured, WatchWait: d.settings.Platform.WatchWait,
		OnError: func(err error) { d.log.Warn().Err(err).Msg("configuration could not be read") },
	})
	if err := d.openSockets(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) openSockets() error {
	credentials, err := peer.NewCredentials([]byte(d.settings.Cluster.Secret))
	if err != nil {
		return err
	}
	d.client = peer.NewClient(credentials, d.clock, peer.ClientSettings{})
	if d.listener, err = net.Listen("tcp", d.settings.Addresses.Caller); err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "listen for callers")
	}
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

func (d *Daemon) holder() model.Holder {
	return model.Holder{VM: d.self.Name, Incarnation: d.self.Incarnation}
}

func (d *Daemon) now() core.Time { return time.Since(d.start) }

// Run registers the VM, starts all duties and serves callers until stop is
// closed; then it drains. The error says why the daemon could not start or
// whether the drain's limit cut requests.
func (d *Daemon) Run(stop <-chan struct{}) error {
	defer d.Close()
	if err := d.register(stop); err != nil {
		return err
	}
	if err := d.build(); err != nil {
		return err
	}
	d.startLoops()
	served := make(chan error, 1)
	go func() { served <- d.frontend.Serve(d.listener) }()
	d.log.Info().Str("callers", d.self.CallerAddr).Str("peers", d.self.PeerRPCAddr).Msg("daemon started")
	select {
	case err := <-served:
		return err
	case <-stop:
		return d.drain()
	case <-d.drainAsked:
		return d.drain()
	case <-d.superseded:
		return errs.New(errs.Conflict, "a later incarnation of this VM is registered")
	}
}

// build makes the parts that need the VM's incarnation.
func (d *Daemon) build() error {
	d.broker = permit.NewBroker(d.self, d.table, d.holdings, ownerCalls{d}, d.recorder)
	d.buildAccounts()
	d.buildOwners()
	d.readiness = newReadiness(d)
	d.journal = &journalDuty{d: d}
	d.buildFrontend()
	return d.registerServices()
}

func (d *Daemon) buildOwners() {
	ports := owner.Ports{
		Orders: targetOrders{d.targets, d.metrics}, Peers: ownerPeers{d}, LoadPermits: newLoads(d), Accounting: d.accounts,
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
		TargetGone: d.members.targetGone, Seed: uint64(d.self.Incarnation),
		Limits: frontend.Limits{
			MaxConnections: limits.Connections, MaxHeaderBytes: int(limits.HeaderBytes),
			MaxBodyBytes: int(limits.BodyBytes), ReadTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout,
			WriteStallTimeout: limits.WriteTimeout, MaxDeadline: limits.RequestTimeout,
		},
	})
}

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

// goRun starts a loop that ends with the daemon.
func (d *Daemon) goRun(loop func(ctx context.Context)) {
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		loop(d.ctx)
	}()
}

func (d *Daemon) startLoops() {
	d.goRun(d.follower.Run)
	d.goRun(d.readiness.ensureCurrent)
	d.goRun(d.broker.Run)
	d.goRun(d.journal.run)
	d.goRun(d.followRegistrations)
	d.goRun(d.followList)
	d.goRun(d.runMembership)
	d.goRun(d.runDuties)
	d.goRun(d.fetchResident)
	d.goRun(d.runMetrics)
	d.goRun(d.runCleanup)
	d.startAccounts()
}

// configured is called with each configuration that comes into force.
func (d *Daemon) configured(configuration *model.Configuration) {
	shares := make(map[string]float64, len(configuration.Organisations))
	for name, organisation := range configuration.Organisations {
		shares[name] = organisation.Share
	}
	d.owners.SetShares(shares)
	d.coordinator.setRate(configuration.LoadRate)
	d.journal.configure(configuration)
	d.events.Record(timeline.Event{Kind: timeline.ConfigApplied, Detail: versionText(configuration.Version)})
	d.log.Info().Uint64("version", configuration.Version).Msg("configuration in force")
}

func (d *Daemon) loadRate() float64 {
	if configuration := d.follower.Current(); configuration != nil {
		return configuration.LoadRate
	}
	return 0
}

// Close ends the daemon at once.
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
