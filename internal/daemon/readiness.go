package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/pause"
)

// readiness decides whether callers may be sent to this VM.
type readiness struct {
	d       *Daemon
	drain   atomic.Bool
	current atomic.Bool // the configuration was read at a revision after the registration
}

func newReadiness(d *Daemon) *readiness { return &readiness{d: d} }

// contactLimit is the time without any contact to the store and to peers after
// which a VM is not ready: its configuration may be outdated.
const contactLimit = 5 * time.Second

// Ready returns nil, or the reason why the VM takes no requests.
func (r *readiness) Ready() error {
	switch {
	case r.drain.Load():
		return errs.NotRun(errs.Draining, "the VM is draining")
	case !r.current.Load():
		return errs.NotRun(errs.NotReady, "the newest configuration is not known yet")
	case r.d.follower.Version() == 0:
		return errs.NotRun(errs.NotReady, "no configuration is in force")
	case !r.connected():
		return errs.NotRun(errs.NotReady, "neither the store nor a peer can be reached")
	}
	return nil
}

const (
	currentTimeout = 2 * time.Second
	currentPause   = 250 * time.Millisecond
)

// ensureCurrent reads the configuration at a revision that is not older than
// the VM's registration: a stale read could bring back a version that was
// replaced before the VM restarted. While the store does not answer, the newest
// version of the ready peers is taken instead.
func (r *readiness) ensureCurrent(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, currentTimeout)
		err := r.d.follower.ReadStore(callCtx, r.d.revision)
		if err != nil && !errs.Is(err, errs.NotFound) && r.d.members.anyReadyPeer() {
			err = r.d.follower.ReadPeers(callCtx)
		}
		cancel()
		if err == nil {
			r.current.Store(true)
			return
		}
		pause.For(ctx, currentPause)
	}
}

func (r *readiness) connected() bool {
	return time.Since(r.d.follower.LastStoreContact()) < contactLimit+r.d.settings.Platform.WatchWait ||
		r.d.members.heardWithin(contactLimit)
}

func (r *readiness) draining() bool { return r.drain.Load() }
