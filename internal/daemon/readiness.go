package daemon

import (
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
)

// readiness decides whether callers may be sent to this VM.
type readiness struct {
	d     *Daemon
	drain atomic.Bool
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
	case r.d.follower.Version() == 0:
		return errs.NotRun(errs.NotReady, "no configuration is in force")
	case !r.connected():
		return errs.NotRun(errs.NotReady, "neither the store nor a peer can be reached")
	}
	return nil
}

func (r *readiness) connected() bool {
	return time.Since(r.d.follower.LastStoreContact()) < contactLimit+r.d.settings.Platform.WatchWait ||
		r.d.members.heardWithin(contactLimit)
}

func (r *readiness) draining() bool { return r.drain.Load() }
