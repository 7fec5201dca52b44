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

	"cicadaslip/internal/errs"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/groupclient"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/kindwatch"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/peer"
	"cicadaslip/internal/timeline"
	"cicadaslip/internal/upstream"
)

const (
	// memoryPart is the part of the VM's memory from which the collector works
	// harder.
	memoryPart = 0.5
	// heapGrowth lets the heap grow to this percentage above what is in use.
	heapGrowth = 75
	// Times of the connections between VMs.
	peerDial  = 400 * time.Millisecond
	peerProbe = 500 * time.Millisecond
	// settlePoll is the time between looks at targets that are kept after an
	// outage of the store.
	settlePoll = 250 * time.Millisecond
)

// Ports are the connections to the platform.
type Ports struct {
	Store   objectstore.Store
	Orders  groupserver.EngineClient
	Dialect gateway.Dialect
	Kinds   Kinds
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// Daemon is the process of one entry VM.
type Daemon struct {
	settings *Settings
	log      zerolog.Logger
	start    time.Time
	kinds    Kinds
	store    objectstore.Store

	health   storeHealth
	metrics  *metrics.Registry
	upstream *upstream.Client
	config   configPlace

	requestLines sampler
	grantLines   sampler

	relay      relay
	followers  map[string]*kindwatch.Follower // by kind
	deployment *deployment
	versions   *versionTable
	groups     *groupserver.Manager
	placement  *groupclient.Client
	gateway    *gateway.Server
	callers    net.Listener
	readiness  net.Listener
	peers      *peer.Client
	server     *peer.Server
	ready      *fasthttp.Server
	draining   atomic.Bool
	settled    atomic.Bool // the groups had owners once
	background sync.WaitGroup
	cancel     context.CancelFunc
}

// New returns a daemon. Run starts it.
func New(s *Settings, ports Ports, log zerolog.Logger) (*Daemon, error) {
	debug.SetGCPercent(heapGrowth)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryBytes)))
	}
	d := &Daemon{settings: s, log: log, start: time.Now(), kinds: ports.Kinds, store: ports.Store, versions: newVersionTable(), metrics: metrics.With(metrics.EdgeDefinitions), followers: map[string]*kindwatch.Follower{}}
	d.health.changed = d.storeChanged
	incarnation := uint64(time.Now().UnixNano())
	clock := timeline.NewClock(time.Now)
	d.log = log.Hook(stampHook{clock})
	d.peers = peer.NewClient(nil, clock, peer.ClientSettings{
		DialTimeout: peerDial, ProbeTimeout: peerProbe, BusyProbe: peerProbe, IdleProbe: 2 * time.Second,
	})
	if err := d.listen(clock); err != nil {
		return nil, err
	}
	d.groups = groupserver.New(groupserver.Options{
		VM: s.VM, Incarnation: incarnation, Address: s.PeerAddress, Lease: s.Lease, Regions: s.Regions,
		Store: ports.Store, Engines: ports.Orders, Observer: groupObserver{d},
		Announce: d.announce, SettleDelay: s.Settle, StoreReachable: d.health.fine, StoreLost: d.health.blind,
	})
	d.placement = groupclient.New(groupclient.Options{
		VM: s.VM, DataCentre: s.DataCentre, Groups: d.groups, Peers: d.peers,
		Observer: ownerObserver{d}, Target: d.target, SeenRevisions: d.seen, HandlePeerRevisions: d.othersSaw,
		KnownRevisions: d.known, UpdateFor: d.push, HandleReply: d.ownerTold, ConfigVersion: d.configVersion,
		RequiredVersion: d.versions.required,
	})
	d.upstream = &upstream.Client{Dial: ports.Dial}
	d.deployment = newDeployment(s, d.start, d.placement.VMs, d.versions, d.metrics)
	d.gateway = gateway.New(gateway.Options{
		Fleet: d.deployment, Placement: d.placement, Dialect: ports.Dialect,
		Upstream: d.upstream, Observer: requestObserver{d},
	})
	return d, d.server.Register(grouprpc.Service, &groupService{d})
}

// listen opens the daemon's sockets.
func (d *Daemon) listen(clock peer.Clock) error {
	s := d.settings
	var err error
	if d.server, err = peer.Listen(s.PeerAddress, nil, clock); err != nil {
		return err
	}
	if d.callers, err = net.Listen("tcp", s.CallerAddress); err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "listen for callers")
	}
	if d.readiness, err = net.Listen("tcp", s.ReadyAddress); err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "listen for the readiness check")
	}
	s.PeerAddress = d.server.Addr()
	return nil
}

// CallerAddress returns the ip:port for callers.
func (d *Daemon) CallerAddress() string { return d.callers.Addr().String() }

// ReadyAddress returns the ip:port of the readiness check.
func (d *Daemon) ReadyAddress() string { return d.readiness.Addr().String() }

// Run serves until stop is closed, and then drains. An error says that the
// callers' listener failed.
func (d *Daemon) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	defer d.close()
	d.server.Serve()
	d.serveReady(d.readiness)
	if err := d.serveMetrics(ctx); err != nil {
		return err
	}
	d.startWatches(ctx)
	d.goRun(func() { d.groups.Run(ctx) })
	d.goRun(func() { d.placement.Run(ctx) })
	d.goRun(func() { d.settle(ctx) })
	served := make(chan error, 1)
	go func() { served <- d.gateway.Serve(d.callers) }()
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

func (d *Daemon) goRun(f func()) {
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		f()
	}()
}

// announce tells a VM a group's record. One that cannot be reached learns it from
// the store.
func (d *Daemon) announce(address string, request grouprpc.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), peerDial)
	defer cancel()
	var reply grouprpc.AnnounceReply
	if err := d.peers.Call(ctx, address, grouprpc.AnnounceMethod, request, &reply); err != nil {
		d.log.Info().Str(fieldEvent, "announce_failed").Str(fieldGroup, request.Group).Str(fieldAddress, address).Err(err).Send()
	}
}

func (d *Daemon) close() {
	d.cancel()
	_ = d.callers.Close()
	_ = d.readiness.Close()
	d.server.Close()
	d.peers.Close()
}

// Sources of what a VM believes of the deployment, as the log names them.
const (
	sourceStore  = "store"
	sourceRelay  = "relay"
	sourceLapsed = "lapsed" // the time for which a missing target is kept is over
)

// fleetChanged hands the targets and services to the groups.
func (d *Daemon) fleetChanged(source string) {
	d.logTargets(source)
	services, targets := d.deployment.services()
	d.groups.SetFleet(services, targets)
	for a, version := range d.versions.all() {
		d.groups.SetVersion(a, version)
	}
}

// settle drops targets that are still missing some time after an outage.
func (d *Daemon) settle(ctx context.Context) {
	ticker := time.NewTicker(settlePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if d.deployment.settle() {
			d.fleetChanged(sourceLapsed)
		}
	}
}

// Kill ends the daemon at once, as the end of its process would.
func (d *Daemon) Kill() {
	_ = d.callers.Close()
	_ = d.readiness.Close()
	if d.cancel != nil {
		d.cancel()
	}
	d.server.Close()
	d.peers.Close()
	d.groups.Kill()
}

// Owned returns the names of the target groups that this VM owns.
func (d *Daemon) Owned() []string { return d.groups.OwnedGroups() }

// stampHook gives each line a stamp that orders the lines of all VMs by cause: calls
// between VMs carry stamps.
type stampHook struct{ clock *timeline.Clock }

// Run implements zerolog.Hook.
func (h stampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	stamp := h.clock.Now()
	e.Str(fieldStamp, strconv.FormatInt(stamp.Wall, 10)+"."+strconv.FormatUint(uint64(stamp.Counter), 10))
}
