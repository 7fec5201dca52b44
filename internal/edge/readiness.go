package edge

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// isReady reports whether callers should be sent to this VM.
func (d *Daemon) isReady() bool {
	if d.draining.Load() || d.deployment.Routes() == nil {
		return false
	}
	listed := d.deployment.hasTargetList()
	if listed && !d.groupsSettled.Load() {
		// After maxOwnerWait the VM is ready without owners too, because plain services
		// do not need them.
		d.groupsSettled.Store(d.groups.AllOwned() || time.Since(d.startedAt) > maxOwnerWait)
	}
	return listed && d.groupsSettled.Load()
}

// maxOwnerWait is the time since the start of the daemon after which the VM is ready
// even if some groups have no owner.
const maxOwnerWait = 6 * time.Second

// serveReady serves the readiness check: status 200 if the VM is ready, 503 if not.
func (d *Daemon) serveReady(l net.Listener) {
	d.readyServer = &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, ReadTimeout: readyReadTimeout, IdleTimeout: readyIdleTimeout,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch {
			case string(ctx.Path()) != d.settings.ReadyPath:
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			case d.isReady():
				ctx.SetStatusCode(fasthttp.StatusOK)
			default:
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
	}
	go func() { _ = d.readyServer.Serve(l) }() // serves until the process ends
}

const (
	readyReadTimeout = 3 * time.Second
	readyIdleTimeout = 30 * time.Second
)
