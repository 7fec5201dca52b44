package daemon

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/acceptretry"
	"cicadaslip/internal/account"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/journal"
	"cicadaslip/internal/membership"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/pause"
)

const (
	metricsPath = "/debug/vars"
	// maxMetricsConnections limits the number of concurrent connections to the
	// metrics server.
	maxMetricsConnections = 16
	// metricsTimeout limits the time to read a request and to write a response.
	metricsTimeout = 10 * time.Second
	// arrivalRetentionMargin is the time for which the arrival of a request is
	// kept beyond the longest request timeout.
	arrivalRetentionMargin = time.Minute
)

// openMetrics opens the TCP listener for metrics if the settings name an
// address.
func (d *Daemon) openMetrics() error {
	address := d.settings.Addresses.Metrics
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errs.Wrap(err, errs.InvalidSettings, "listen for metrics")
	}
	d.metricsListener = acceptretry.New(listener, d.acceptFailed)
	return nil
}

// runMetrics serves the metrics if their listener is open, and rotates the
// windows of the latency metrics until ctx ends.
func (d *Daemon) runMetrics(ctx context.Context) {
	server := &fasthttp.Server{
		Handler: d.serveMetrics, Name: "cicadaslip", Concurrency: maxMetricsConnections,
		ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, CloseOnShutdown: true,
	}
	if d.metricsListener != nil {
		d.log.Info().Str("metrics", d.metricsListener.Addr().String()).Msg("serving metrics")
		go func() { _ = server.Serve(d.metricsListener) }()
	}
	for pause.For(ctx, metrics.RotateInterval) {
		d.metrics.Rotate()
		d.recorder.dropStaleArrivals(d.settings.Limits.RequestTimeout + arrivalRetentionMargin)
	}
	_ = server.ShutdownWithContext(ctx) // ctx has ended, so this closes connections at once
}

// serveMetrics answers an HTTP request with the metrics of this daemon and the
// process's memstats as JSON.
func (d *Daemon) serveMetrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != metricsPath {
		ctx.Error("metrics are served at "+metricsPath, fasthttp.StatusNotFound)
		return
	}
	d.updateGauges()
	ctx.SetContentType("application/json; charset=utf-8")
	// The expvar page is global to the process, so it cannot show the metrics of two
	// daemons in one test process separately.
	_, _ = fmt.Fprintf(ctx, "{\"cicadaslip\": %s, \"memstats\": %s}\n", d.metrics.Var(), expvar.Get("memstats"))
}

// updateGauges sets the metrics whose values are kept by other components.
func (d *Daemon) updateGauges() {
	m := d.metrics
	m.Set(metrics.RequestsInFlight, int64(d.frontend.InFlight()))
	m.Set(metrics.PermitsHeld, int64(d.holdings.Len()))
	m.Set(metrics.GroupsOwned, int64(d.owners.OwnedCount()))
	m.Set(metrics.ConfigVersion, int64(d.follower.Version()))
	m.Set(metrics.TimelineOverwritten, int64(d.events.Overwritten()))
	d.updatePeerGauges()
	d.updateAccountGauges()
	if components := d.journal.components.Load(); components != nil {
		d.updateJournalGauges(components.host.Counters())
	}
}

func (d *Daemon) updatePeerGauges() {
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

func (d *Daemon) updateAccountGauges() {
	dropped := uint64(0)
	for _, row := range d.accounts.Document().Rows {
		dropped += row[account.DroppedOpenRequests] + row[account.DroppedGivenEntries]
	}
	d.metrics.Set(metrics.UsageOpenRequests, int64(d.accounts.OpenCount()))
	d.metrics.Set(metrics.UsageDroppedRequests, int64(dropped))
}

func (d *Daemon) updateJournalGauges(counters *journal.Counters) {
	d.metrics.Set(metrics.JournalBatches, counters.Batches.Load())
	d.metrics.Set(metrics.JournalRecords, counters.Records.Load())
	d.metrics.Set(metrics.JournalTakeovers, counters.Takeovers.Load())
	d.metrics.Set(metrics.JournalStoreFailures, counters.StoreFailures.Load())
	d.metrics.Set(metrics.JournalRefused, counters.Refused.Load())
	d.metrics.Set(metrics.JournalBacklog, counters.Backlog.Load())
	d.metrics.Set(metrics.JournalBacklogLost, counters.BacklogLost.Load())
}
