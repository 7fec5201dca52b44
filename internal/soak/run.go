package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/linkproxy"
	"cicadaslip/internal/standin/loopback"
	"cicadaslip/internal/standin/metastore"
)

// Kinds of requests.
const (
	kindQuote   = "quote"   // stream that may be resumed
	kindNotes   = "notes"   // stream that may not be repeated
	kindBooking = "booking" // non-idempotent
	kindLookup  = "lookup"  // idempotent
	kindProbe   = "probe"   // asks which configuration is in force
	kindExport  = "export"  // non-idempotent, takes longWork; with Options.Planned
)

const (
	host         = "counter.example"
	plainService = "app"
	otherService = "other"
	slowService  = "slow"
	gapAim       = 800 * time.Millisecond // longest pause between events that callers find good
	model        = "base"
	streamEvents = 12
	adapters     = 14
	places       = 4
	callers      = 8
	minTargets   = 3 // of a service
	vmsOfTarget  = 4
	vmsOfCaller  = 4
	finalCallers = 24               // that ask at the same time whether all is served
	calm         = 13 * time.Second // after the last fault, until all must be served
	startLimit   = 20 * time.Second
	longWork     = 4 * time.Second         // of the targets of the slow service
	lateBodies   = 6                       // one in so many requests sends its body late
	maxBodyDelay = 2500 * time.Millisecond // shorter than the limits of the configurations
)

// Options of a run.
type Options struct {
	Seed    uint64
	Seconds int    // of faults
	VMs     int    // processes
	Program string // cicadaslipd
	Dir     string // for settings and logs
	// Restores lets the store come back from older copies. Without it, some seeds do so.
	Restores bool
	Planned  bool // no other faults than silences, changes of the configuration, SIGHUP and SIGTERM
	// HardLoad adds organisations with keys and quotas, callers that read slowly, and limits of memory
	// and descriptors.
	HardLoad bool
}

// Result is the report of a run.
type Result struct {
	Seed       uint64         `json:"seed"`
	Faults     map[string]int `json:"faults"`
	Requests   int            `json:"requests"`
	Served     int            `json:"served"`
	Statuses   map[int]int    `json:"statuses"`          // number of answers by status, 0 for none
	PeakMB     float64        `json:"peak_mb,omitempty"` // most memory of a process
	Violations []string       `json:"violations"`
}

// run is one run.
type run struct {
	options Options
	rng     *rand.Rand
	lock    net.Listener // kept from other runs of the seed
	store   *metastore.Store
	vms     []*vm
	checker *checker
	number  atomic.Int64

	storeTimeline timeline
	rolls         sync.WaitGroup // rolling restarts under way

	mu       sync.Mutex
	targets  []*engine.Target // all that ever were, but others
	engines  []*engine.Target // that live
	apps     []*engine.Target
	others   []*engine.Target // of the second plain service and the slow one
	config   int
	written  map[string]any  // the configuration with number config
	configAt time.Time       // when the store had acknowledged that number, zero while it has lost it
	removed  map[string]bool // targets whose entries were removed
	terms    terms
	history  []termsInForce
	limits   map[*engine.Target]*limited
	versions map[string]int64
	faults   map[string]int
	started  int
	// linked puts a proxy in front of each engine.
	linked bool
	links  []*linkproxy.Proxy
	// organisations is nil without Options.HardLoad.
	organisations *organisations
}

func newRun(o Options) *run {
	r := &run{
		options: o, rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), checker: newChecker(), versions: map[string]int64{}, removed: map[string]bool{}, faults: map[string]int{},
		limits: map[*engine.Target]*limited{},
	}
	r.terms = firstTerms(r)
	if o.HardLoad {
		r.organisations = newOrganisations()
	}
	return r
}

// Run runs one seed.
func Run(o Options) (Result, error) {
	r := newRun(o)
	defer r.close()
	signal.Ignore(syscall.SIGHUP) // processes inherit that until their runtimes have started
	if err := r.start(); err != nil {
		return Result{}, errs.Wrap(err, errs.Internal, "start the deployment")
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range r.callers() {
		wait.Go(func() { r.call(ctx, rand.New(rand.NewPCG(o.Seed, uint64(i)+1))) })
	}
	for i := range r.slowReaders() {
		wait.Go(func() { r.callSlowly(ctx, rand.New(rand.NewPCG(o.Seed+1, uint64(i)))) })
	}
	r.disturb(time.Duration(o.Seconds) * time.Second)
	r.rolls.Wait()
	r.heal()
	r.awaitService()
	r.checkNewConfig()
	r.changeBesideCuts()
	cancel()
	wait.Wait()
	r.checker.finish(r.allTargets())
	r.checkProcesses()
	r.checkLost()
	r.checkLeaving()
	r.checkReportedLeaving()
	r.checkPauses()
	r.checkLimits()
	r.checkConfigs()
	r.checkOwners()
	r.checkKeys()
	r.checkQuotas()
	r.checkMemory()
	return r.result(), nil
}

func (r *run) start() error {
	var err error
	if r.lock, err = net.Listen("tcp", address(vmAddress(r.options.Seed, 1), lockPort)); err != nil {
		return errs.Wrap(err, errs.Internal, "another run of this seed uses its addresses")
	}
	if r.store, err = metastore.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if err := r.configure(); err != nil {
		return err
	}
	for i := range max(minTargets, r.options.VMs/vmsOfTarget) {
		if err := r.addEngine(i); err != nil {
			return err
		}
		if err := r.addApp(i); err != nil {
			return err
		}
		if err := r.addOther(i); err != nil {
			return err
		}
		if !r.options.Planned {
			continue
		}
		if err := r.addSlow(i); err != nil {
			return err
		}
	}
	for i := range r.options.VMs {
		v, err := r.newVM(i)
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// checkFences reports whether the engines of this run refuse the orders of replaced owners.
func (r *run) checkFences() bool { return r.options.Seed%2 == 0 }

func (r *run) awaitReady() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range r.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(r.vms) {
			return nil
		}
	}
	return errs.New(errs.Timeout, "not all VMs became ready")
}

func (r *run) close() {
	for _, v := range r.vms {
		v.end()
	}
	for _, t := range r.allTargets() {
		t.Crash()
	}
	for _, l := range r.links {
		l.Close()
	}
	if r.store != nil {
		r.store.Close()
	}
	if r.lock != nil {
		_ = r.lock.Close()
	}
}

func (r *run) addEngine(i int) error {
	r.started++
	settings := engine.Settings{
		ID: fmt.Sprintf("e%d-%d", i, r.started), Service: "llm", Zone: zones[i%3], Model: model, Slots: r.slots(), Adapters: places,
		Events: streamEvents, Pause: r.eventPause(), Load: 50 * time.Millisecond, NoFences: !r.checkFences(),
		HeadFirst: i%2 == 1,
	}
	if r.linked {
		if err := r.link(&settings); err != nil {
			return err
		}
	}
	t, err := engine.Start(settings, r.store)
	if err != nil {
		return err
	}
	r.targets, r.engines = append(r.targets, t), append(r.engines, t)
	for name, version := range r.versions {
		t.Announce(name, version)
	}
	return nil
}

// link lists an engine by the address of a proxy in front of it.
func (r *run) link(s *engine.Settings) (err error) {
	if s.Address, err = loopback.Reserve(); err != nil {
		return errs.Wrap(err, errs.Internal, "reserve the address of an engine")
	}
	proxy, err := linkproxy.New(s.Address)
	if err != nil {
		return err
	}
	s.Listed = proxy.Address()
	r.links = append(r.links, proxy)
	return nil
}

// partition cuts a VM off from the store, and its orders from the engines. The function that it
// returns ends that.
func (r *run) partition(v *vm) (heal func()) {
	end := v.timeline.begin(cut)
	v.store.Set(true, false, 0)
	holder := []byte(strconv.Quote(v.name))
	for _, l := range r.links {
		l.Partition(func(sent []byte) bool { return bytes.Contains(sent, holder) })
	}
	return func() {
		for _, l := range r.links {
			l.Partition(nil)
		}
		v.store.Set(false, false, 0)
		end()
	}
}

func (r *run) addApp(i int) error {
	r.started++
	t, err := engine.Start(engine.Settings{
		ID: fmt.Sprintf("a%d-%d", i, r.started), Service: plainService, Zone: zones[i%3], Slots: 6, Pause: 10 * time.Millisecond,
	}, r.store)
	if err != nil {
		return err
	}
	r.targets, r.apps = append(r.targets, t), append(r.apps, t)
	return nil
}

func (r *run) route(name, kind, service string, resumable bool) map[string]any {
	attempts := 1
	if kind == "idempotent" || resumable {
		attempts = 2
	}
	spec := map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": r.terms.timeout.Milliseconds(), "target_latency_ms": 1000,
		"priority": 1, "service": service, "max_attempts": attempts, "resumable": resumable, "gap_aim_ms": gapAim.Milliseconds(),
	}
	if share := r.terms.otherWeight; service == plainService && share > 0 {
		spec["traffic_split"] = []any{
			map[string]any{"service": plainService, "weight": 100 - share}, map[string]any{"service": otherService, "weight": share},
		}
	}
	return spec
}

// configure writes the next configuration, with one more route.
func (r *run) configure() error {
	r.config++
	routes := []any{
		r.route(kindQuote, "streaming", "llm", true), r.route(kindNotes, "streaming", "llm", false),
		r.route(kindBooking, "non_idempotent", plainService, false), r.route(kindLookup, "idempotent", plainService, false),
	}
	if r.options.Planned {
		routes = append(routes, r.route(kindExport, "non_idempotent", slowService, false))
	}
	r.history = append(r.history, termsInForce{time.Now(), r.terms})
	for n := 1; n <= r.config; n++ {
		probe := r.route(fmt.Sprintf("probe%d", n), "idempotent", plainService, false)
		if r.options.HardLoad {
			probe["public"] = true
		}
		routes = append(routes, probe)
	}
	r.written = map[string]any{
		"version": r.config, "routes": routes,
		"services": []any{
			map[string]any{"name": "llm", "max_connections": 200, "engine": map[string]any{
				"slots": r.slots(), "kv_capacity_tokens": 200000, "stride": 4, "weights_mb": 75000.0, "adapter_slots": places, "loads_per_s": 2.0,
				"models": []any{map[string]any{"name": model, "weights_mb": 72000.0, "load_time_s": 0.5, "adapters": 100, "adapter_mb": 60.0}},
			}},
			map[string]any{"name": plainService, "max_connections": 200},
			map[string]any{"name": otherService, "max_connections": 200},
			map[string]any{"name": slowService, "max_connections": 200},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": r.terms.idle.Milliseconds()},
	}
	if r.organisations != nil {
		r.written["tenants"] = r.organisations.specs()
		r.organisations.begin(time.Now())
	}
	if err := r.store.Put("config", "main", r.written); err != nil {
		return err
	}
	r.configAt = time.Now()
	if r.organisations != nil {
		r.organisations.acknowledge(r.configAt)
	}
	return nil
}

// call sends requests until ctx ends. Its connections stay open until the process
// at the other end is gone.
func (r *run) call(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	vms := r.vmsOf(rng)
	kinds := []string{kindQuote, kindQuote, kindNotes, kindBooking, kindBooking, kindLookup, kindProbe}
	if r.options.Planned {
		kinds = append(kinds, kindExport)
	}
	organisation := ""
	if r.options.HardLoad {
		organisation = organisationNames[rng.IntN(len(organisationNames))]
	}
	for ctx.Err() == nil {
		v := vms[rng.IntN(len(vms))]
		q := r.next(kinds[rng.IntN(len(kinds))], rng.IntN(adapters))
		if r.options.Planned && rng.IntN(lateBodies) == 0 {
			q.bodyDelay = time.Duration(rng.Int64N(int64(maxBodyDelay)))
		}
		if organisation != "" {
			r.identify(&q, rng, organisation)
		}
		a := r.send(client, v, q)
		r.checker.note(a)
		if a.status == http.StatusTooManyRequests {
			time.Sleep(quotaPause)
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// vmsOf returns the VMs that a caller sends its requests to. They are few, so that its
// connections are in use again before their idle limit.
func (r *run) vmsOf(rng *rand.Rand) []*vm {
	if len(r.vms) <= vmsOfCaller {
		return r.vms
	}
	vms := make([]*vm, 0, vmsOfCaller)
	for _, i := range rng.Perm(len(r.vms))[:vmsOfCaller] {
		vms = append(vms, r.vms[i])
	}
	return vms
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// outgoing is a request that a caller sends.
type outgoing struct {
	kind, id  string
	adapter   int
	bodyDelay time.Duration // after the head of the request
	key       string        // of an organisation
	forged    string        // name of an organisation that the caller claims
	// eventBytes is the length of events and readPause the pause between reads of a caller that
	// reads slowly, 0 for others.
	eventBytes int
	readPause  time.Duration
}

// next returns a request with an ID of its own, and with a key that is never withdrawn if its
// route needs one.
func (r *run) next(kind string, adapter int) outgoing {
	q := outgoing{kind: kind, adapter: adapter, id: fmt.Sprintf("q%d", r.number.Add(1))}
	if r.options.HardLoad && kind != kindProbe {
		q.key = r.organisations.stableKey(unlimitedOrganisation)
	}
	return q
}

// askAs sends a request under an identifier.
func (r *run) askAs(client *http.Client, v *vm, kind, id string) answer {
	return r.send(client, v, outgoing{kind: kind, id: id})
}

// body returns the body of the request. The HTTP client sends the head before a body that
// comes late.
func (q outgoing) body() io.Reader {
	text := bytes.NewBufferString("body of " + q.id)
	if q.bodyDelay == 0 {
		return text
	}
	return &lateBody{Buffer: text, delay: q.bodyDelay}
}

// lateBody is a body whose first byte comes after a delay.
type lateBody struct {
	*bytes.Buffer
	delay time.Duration
}

// Read implements io.Reader.
func (b *lateBody) Read(p []byte) (int, error) {
	time.Sleep(b.delay)
	b.delay = 0
	return b.Buffer.Read(p)
}

// patience is the time that callers give their requests.
func (r *run) patience() time.Duration {
	if r.options.Planned {
		return 8 * time.Second
	}
	return 4 * time.Second
}

// callers returns the number of callers. Silences hit more requests if more are under way.
func (r *run) callers() int {
	if r.options.Planned {
		return max(5*callers, r.options.VMs)
	}
	return max(3*callers, r.options.VMs)
}

// extraRetries is the retry budget beside the share of requests. Where it is small, silences
// use it up.
func (r *run) extraRetries() int {
	if r.options.Planned {
		return 4
	}
	return 54
}

// slots is the number of requests that an engine serves at a time.
func (r *run) slots() int {
	if r.options.Planned {
		return 8
	}
	return 32
}

func (r *run) eventPause() time.Duration {
	if r.options.Planned {
		return 40 * time.Millisecond
	}
	return 10 * time.Millisecond
}

func (r *run) send(client *http.Client, v *vm, q outgoing) answer {
	a := answer{id: q.id, kind: q.kind, vm: v, start: v.incarnation(), forged: q.forged, eventBytes: q.eventBytes, sent: time.Now()}
	r.noteKey(&a, q.key)
	path := "/" + q.kind + "/x"
	if q.kind == kindProbe {
		r.mu.Lock()
		a.config, a.configAt = r.config, r.configAt
		r.mu.Unlock()
		path = fmt.Sprintf("/probe%d/x", a.config)
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.patience()+time.Second)
	defer cancel()
	var kept atomic.Bool
	var written atomic.Pointer[time.Time]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { kept.Store(c.Reused) },
		WroteRequest: func(w httptrace.WroteRequestInfo) {
			if now := time.Now(); w.Err == nil {
				written.Store(&now)
			}
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.caller+path, q.body())
	if err != nil {
		return a
	}
	req.Host = host
	call := engine.Call{ID: a.id, Deadline: r.patience(), Key: q.key, Forged: q.forged, EventBytes: q.eventBytes}
	if q.kind == kindQuote || q.kind == kindNotes {
		call.Model, call.Prompt, call.Answer = fmt.Sprintf("%s/a%d", model, q.adapter), 900, 48
	}
	call.Describe(req.Header)
	resp, err := client.Do(req)
	if err == nil {
		a.head = time.Now()
		body, failed := q.readBody(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body, a.whole = resp.StatusCode, body, failed == nil
		a.named, a.server, a.retryAfter = engine.AnswerOf(resp.Header), engine.TargetOf(resp.Header), resp.Header.Get("Retry-After")
	}
	a.done, a.kept, a.end = time.Now(), kept.Load(), v.incarnation()
	if at := written.Load(); at != nil {
		a.written = *at
	}
	return a
}

// awaitService checks that all kinds of requests are served by all VMs within the
// calm time after the last fault.
func (r *run) awaitService() {
	end := time.Now().Add(calm)
	var wait sync.WaitGroup
	wait.Go(r.awaitOrganisations)
	free := make(chan struct{}, finalCallers)
	for i, v := range r.vms {
		free <- struct{}{}
		wait.Go(func() {
			defer func() { <-free }()
			for _, kind := range []string{kindQuote, kindNotes, kindBooking, kindLookup, kindProbe} {
				r.awaitKind(v, kind, i, end)
			}
		})
	}
	wait.Wait()
}

// awaitKind asks a VM until it serves a kind of request, beginning with one of the adapters.
func (r *run) awaitKind(v *vm, kind string, adapter int, end time.Time) {
	r.awaitRequest(v, kind, end, func(n int) outgoing { return r.next(kind, (adapter+n)%adapters) })
}

// awaitRequest sends requests to a VM until one is served.
func (r *run) awaitRequest(v *vm, what string, end time.Time, next func(n int) outgoing) {
	client := newClient()
	for n := 0; time.Now().Before(end); n++ {
		a := r.send(client, v, next(n))
		r.checker.note(a)
		switch {
		case a.status == http.StatusOK && a.whole:
			return
		case a.status == http.StatusTooManyRequests:
			time.Sleep(quotaPause)
		}
	}
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	r.checker.fail("%s %s is not served in time after the last fault, until %s", v.name, what, end.Format(clock))
}

func (r *run) result() Result {
	result := Result{
		Seed: r.options.Seed, Faults: r.faults, Requests: len(r.checker.answers), Statuses: map[int]int{}, Violations: r.checker.violations,
	}
	for _, v := range r.vms {
		result.PeakMB = max(result.PeakMB, v.memory)
	}
	for _, a := range r.checker.answers {
		result.Statuses[a.status]++
		if a.status == http.StatusOK && a.whole {
			result.Served++
		}
	}
	return result
}
