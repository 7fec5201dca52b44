package edge

import (
	"context"
	"time"

	"cicadaslip/internal/gateway"
	"cicadaslip/internal/pause"
)

const (
	// usualGrace is the Settings.ShutdownGrace for which the times below are meant. A shorter
	// one shortens them all.
	usualGrace = 8 * time.Second
	// deregistrationDelay is the time from the first failed readiness check until the
	// platform's load balancer sends no new connections to this VM, plus a margin of one
	// second.
	deregistrationDelay = 3200 * time.Millisecond
	// newStreamWindow is the time after the start of a drain in which new streams are
	// accepted. Streams that begin later might not end before the process does.
	newStreamWindow = 2 * time.Second
	// newRequestWindow is the time after the start of a drain in which other new requests are
	// accepted although their time limits would let them outlast the process. Most end in a
	// fraction of a second, and the load balancer may still send some here.
	newRequestWindow = 3 * time.Second
	// shutdownMargin is the time before the end of Settings.ShutdownGrace at which the
	// daemon stops waiting for requests and exits by itself.
	shutdownMargin = 300 * time.Millisecond
	// answerMargin is the time before that in which all requests that are not answered get an
	// answer. Callers that read slowly need some of it.
	answerMargin = 300 * time.Millisecond
)

// drainTimes are the times of a drain.
type drainTimes struct {
	requests    gateway.DrainSchedule
	closeIdle   time.Time // when the listener and idle connections are closed
	stopWaiting time.Time // for requests that are not answered
}

// planDrain returns the times of a drain that has begun at a time.
func planDrain(began time.Time, grace time.Duration) drainTimes {
	scale := min(1, float64(grace)/float64(usualGrace))
	scaled := func(d time.Duration) time.Duration { return time.Duration(scale * float64(d)) }
	stop := began.Add(grace - scaled(shutdownMargin))
	return drainTimes{
		requests: gateway.DrainSchedule{
			RefuseStreams: began.Add(scaled(newStreamWindow)), RefuseLong: began.Add(scaled(newRequestWindow)), AnswerAll: stop.Add(-scaled(answerMargin)),
		},
		closeIdle:   began.Add(scaled(deregistrationDelay)),
		stopWaiting: stop,
	}
}

// drain takes the VM out of service. It fails the readiness check, releases the groups
// that this VM owns, and keeps answering new requests until the platform's load
// balancer has noticed. Then it refuses the streams that still wait for a target, which their
// callers can send to another VM, and waits for the other requests in flight. Shortly before
// the end of the grace period it answers those whose targets are still at work. To release the
// groups may take several seconds while the store does not answer.
func (d *Daemon) drain() {
	began := time.Now()
	times := planDrain(began, d.settings.ShutdownGrace)
	d.draining.Store(true)
	d.log.Info().Str(fieldEvent, "draining").Int(fieldCount, d.gateway.InFlight()).Send()
	d.gateway.Drain(times.requests)
	defer time.AfterFunc(time.Until(times.requests.AnswerAll), d.gateway.AnswerAll).Stop()
	ctx, cancel := context.WithDeadline(context.Background(), times.stopWaiting)
	defer cancel()
	released := make(chan struct{})
	go func() {
		defer close(released)
		d.groups.Drain()
	}()
	pause.For(ctx, time.Until(times.closeIdle))
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
