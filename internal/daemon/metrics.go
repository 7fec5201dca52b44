package daemon

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/account"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/journal"
	"cicadaslip/internal/membership"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/pause"
)

const (
	metricsPath = "/debug/vars"
	// metricsConnections bounds the connections of collectors.
	metricsConnections = 16
	metricsTimeout     = 10 * time.Second
	// arrivalSlack is the time after the longest deadline for which the arrival
	// of a request is kept.
	arrivalSlack = time.Minute
)

// openMetrics opens the listener of the metrics, if the settings name one.
func (d *Daemon) openMetrics() error {
	address := d.settings.Addresses.Metrics
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "listen for metrics")
	}
	d.metricsListener = listener
	return nil
}

// runMetrics rotates the latencies and serves all values until ctx ends.
func (d *Daemon) runMetrics(ctx context.Context) {
	server := &fasthttp.Server{
		Handler: d.serveMetrics, Name: "cicadaslip", Concurrency: metricsConnections,
		ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, CloseOnShutdown: true,
	}
	if d.metricsListener != nil {
		d.log.Info().Str("metrics", d.metricsListener.Addr().String()).Msg("metrics are served")
		go func() { _ = server.Serve(d.metricsListener) }()
	}
	for pause.For(ctx, metrics.RotateEvery) {
		d.metrics.Rotate()
		d.recorder.forget(d.settings.Limits.RequestTimeout + arrivalSlack)
	}
	_ = server.ShutdownWithContext(ctx) // ctx has ended: connections are closed at once
}

func (d *Daemon) serveMetrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != metricsPath {
		ctx.Error("metrics are at "+metricsPath, fasthttp.StatusNotFound)
		return
	}
	d.sample()
	ctx.SetContentType("application/json; charset=utf-8")
	// The process-wide expvar page cannot show two daemons of one test process.
	_, _ = fmt.Fprintf(ctx, "{\"cicadaslip\": %s, \"memstats\": %s}\n", d.metrics.Var(), expvar.Get("memstats"))
}

// sample enters the values that other parts keep.
func (d *Daemon) sample() {
	m := d.metrics
	m.Set(metrics.RequestsInFlight, int64(d.frontend.InFlight()))
	m.Set(metrics.PermitsHeld, int64(d.holdings.Len()))
	m.Set(metrics.GroupsOwned, int64(d.owners.Owned()))
	m.Set(metrics.ConfigVersion, int64(d.follower.Version()))
	m.Set(metrics.TimelineOverwritten, int64(d.events.Overwritten()))
	d.samplePeers()
	d.sampleAccount()
	if parts := d.journal.parts.Load(); parts != nil {
		d.sampleJournal(parts.host.Counters())
	}
}

func (d *Daemon) samplePeers() {
	server, heartbeats := d.server.Stats(), d.heartbeats.Stats()
	d.metrics.Set(metrics.PeerConnections, server.Connections)
	d.metrics.Set(metrics.PeersRefused, server.RefusedOverLimit+server.FailedHandshakes)
	d.metrics.Set(metrics.HeartbeatsSent, int64(heartbeats.Sent))
	d.metrics.Set(metrics.HeartbeatBytesSent, int64(heartbeats.SentBytes))
	d.metrics.Set(metrics.HeartbeatsReceived, int64(heartbeats.Received))
	for reason, count := range heartbeats.Refused {
		d.metrics.SetLabel(metrics.HeartbeatsRefused, string(reason), int64(count))
	}
	states := map[membership.State]int64{
		membership.Alive: 0, membership.Suspect: 0, membership.Unreachable: 0, membership.Gone: 0,
	}
	for _, entry := range d.members.entries() {
		states[entry.State]++
	}
	for state, count := range states {
		d.metrics.SetLabel(metrics.PeersByState, string(state), count)
	}
}

func (d *Daemon) sampleAccount() {
	dropped := uint64(0)
	for _, row := range d.accounts.Document().Rows {
		dropped += row[account.DroppedOpen] + row[account.DroppedGiven]
	}
	d.metrics.Set(metrics.UsageOpenRequests, int64(d.accounts.OpenCount()))
	d.metrics.Set(metrics.UsageDroppedRequests, int64(dropped))
}

func (d *Daemon) sampleJournal(counters *journal.Counters) {
	d.metrics.Set(metrics.JournalBatches, counters.Batches.Load())
	d.metrics.Set(metrics.JournalRecords, counters.Records.Load())
	d.metrics.Set(metrics.JournalTakeovers, counters.Takeovers.Load())
	d.metrics.Set(metrics.JournalStoreFailures, counters.StoreFailures.Load())
	d.metrics.Set(metrics.JournalRefused, counters.Refused.Load())
	d.metrics.Set(metrics.JournalBacklog, counters.Backlog.Load())
	d.metrics.Set(metrics.JournalBacklogLost, counters.BacklogLost.Load())
}
