package edge

import (
	"context"
	"time"
)

const (
	// deregistrationDelay is the time from the first failed readiness check until the
	// platform's load balancer sends no new connections to this VM, plus a margin of one
	// second.
	deregistrationDelay = 3200 * time.Millisecond
	// newStreamWindow is the time after the start of a drain in which new streams are
	// accepted. Streams that begin later might not end before the process does.
	newStreamWindow = 2 * time.Second
	// shutdownMargin is the time before the end of Settings.ShutdownGrace at which the
	// daemon stops waiting for requests and exits by itself.
	shutdownMargin = 300 * time.Millisecond
)

// drain takes the VM out of service. It fails the readiness check, releases the groups
// that this VM owns, and keeps answering new requests until the platform's load
// balancer has noticed. Then it refuses the streams that still wait for a target, which their
// callers can send to another VM, and waits for the other requests in flight. To release the
// groups may take several seconds while the store does not answer.
func (d *Daemon) drain() {
	began := time.Now()
	d.draining.Store(true)
	d.log.Info().Str(fieldEvent, "draining").Int(fieldCount, d.gateway.InFlight()).Send()
	d.gateway.Drain(newStreamWindow)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(d.settings.ShutdownGrace-shutdownMargin))
	defer cancel()
	released := make(chan struct{})
	go func() {
		defer close(released)
		d.groups.Drain()
	}()
	time.Sleep(deregistrationDelay)
	d.gateway.RefuseWaiting()
	d.gateway.Shutdown(ctx)
	select {
	case <-released:
	case <-ctx.Done():
	}
	unanswered := d.gateway.Unanswered()
	observer := requestObserver{d}
	observer.unanswered(unanswered, began)
	d.log.Info().Str(fieldEvent, "stopped").Int(fieldCount, len(unanswered)).
		Int(fieldConnections, d.gateway.BusyConnections()).Dur(fieldTook, time.Since(began)).Send()
	observer.unansweredSteps(unanswered) // last, because the end of the process may cut the log
}
