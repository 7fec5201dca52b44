package edge

import (
	"context"
	"time"
)

const (
	// leaveTime is the time from the first refused readiness check until the
	// entry sends no new connections, with a second more.
	leaveTime = 3200 * time.Millisecond
	// streamTime is the time for which streams are begun. Later ones may not end
	// before the process.
	streamTime = 2 * time.Second
	// endMargin is the time before the end of the grace at which the process ends
	// by itself.
	endMargin = 300 * time.Millisecond
)

// drain takes the VM out of service: it says that it is not ready, gives its
// groups up, and answers all requests that still come until the entry has
// noticed; then it waits for the requests in flight.
func (d *Daemon) drain() {
	began := time.Now()
	d.draining.Store(true)
	d.log.Info().Str(fieldEvent, "draining").Int(fieldCount, d.gateway.InFlight()).Send()
	d.gateway.Drain(streamTime)
	d.groups.Drain()
	time.Sleep(leaveTime)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(d.settings.Grace-endMargin))
	defer cancel()
	d.gateway.Shutdown(ctx)
	d.log.Info().Str(fieldEvent, "stopped").Int(fieldCount, d.gateway.InFlight()).
		Dur(fieldTook, time.Since(began)).Send()
}
