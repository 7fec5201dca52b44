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
	listed := d.deployment.isListed()
	if listed && !d.settled.Load() {
		// Plain services can be served without owners.
		d.settled.Store(d.groups.AllOwned() || time.Since(d.start) > settleLimit)
	}
	return listed && d.settled.Load()
}

// settleLimit is the time after which a VM is ready though groups have no owner.
const settleLimit = 6 * time.Second

func (d *Daemon) serveReady(l net.Listener) {
	d.ready = &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, ReadTimeout: readyTimeout, IdleTimeout: readyIdle,
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
	go func() { _ = d.ready.Serve(l) }() // ends with the process
}

const (
	readyTimeout = 3 * time.Second
	readyIdle    = 30 * time.Second
)
