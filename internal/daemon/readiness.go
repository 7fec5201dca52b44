package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/pause"
)

// readiness decides whether this VM accepts requests of callers.
type readiness struct {
	d            *Daemon
	drainStarted atomic.Bool
	// configCurrent is set once the configuration has been read from the store at
	// a revision not older than the registration, or from peers.
	configCurrent atomic.Bool
}

func newReadiness(d *Daemon) *readiness { return &readiness{d: d} }

// contactTimeout is the time without contact with the store and with peers
// after which a VM is not ready, because its configuration may be outdated.
const contactTimeout = 5 * time.Second

// Ready returns nil if the VM accepts requests, or else the reason why it does
// not.
func (r *readiness) Ready() error {
	switch {
	case r.drainStarted.Load():
		return errs.NotRun(errs.Draining, "the VM is draining")
	case !r.configCurrent.Load():
		return errs.NotRun(errs.NotReady, "the newest configuration has not been read yet")
	case r.d.follower.Version() == 0:
		return errs.NotRun(errs.NotReady, "no configuration is in force")
	case !r.hasRecentContact():
		return errs.NotRun(errs.NotReady, "no recent contact with the store or any peer")
	}
	return nil
}

const (
	// configReadTimeout limits one attempt to read the configuration.
	configReadTimeout = 2 * time.Second
	// configRetryInterval is the pause between attempts.
	configRetryInterval = 250 * time.Millisecond
)

// awaitCurrentConfig reads the configuration at a store revision that is not
// older than the VM's registration, and retries until it succeeds. A stale read
// could return a version that was replaced before the VM restarted. While the
// store does not answer, it takes the newest version of the reachable peers
// instead, provided that one of them is ready.
func (r *readiness) awaitCurrentConfig(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, configReadTimeout)
		err := r.d.follower.ReadStore(callCtx, r.d.registrationRevision)
		if err != nil && !errs.Is(err, errs.NotFound) && r.d.members.anyReadyPeer() {
			err = r.d.follower.ReadPeers(callCtx)
		}
		cancel()
		if err == nil {
			r.configCurrent.Store(true)
			return
		}
		pause.For(ctx, configRetryInterval)
	}
}

// hasRecentContact reports whether the VM has had contact with the store or
// with any peer recently. The limit for the store is longer by the maximum wait
// of a watch.
func (r *readiness) hasRecentContact() bool {
	return time.Since(r.d.follower.LastStoreContact()) < contactTimeout+r.d.settings.Platform.WatchWait ||
		r.d.members.heartbeatWithin(contactTimeout)
}

func (r *readiness) draining() bool { return r.drainStarted.Load() }
