package gateway

import "cicadaslip/internal/errs"

// contain ends the call after a panic, so that an unexpected error ends one request and
// not the process. It must be deferred.
func (c *call) contain() {
	cause := recover()
	if cause == nil {
		return
	}
	failure := errs.FromPanic(cause)
	c.server.opt.Observer.Panicked(shortID(c.meta.ID), failure)
	c.http.SetConnectionClose()
	c.respondError(failure)
	if c.ctx != nil {
		c.finish()
	}
}

// containAttempt makes a panic in the attempt of a plain request its failure. It must be
// deferred.
func (c *call) containAttempt(r *reply) {
	if cause := recover(); cause != nil {
		r.failure = errs.FromPanic(cause)
		c.server.opt.Observer.Panicked(shortID(c.meta.ID), r.failure)
	}
}

// contain cuts the stream after a panic. It must be deferred.
func (b *streamBody) contain() {
	if cause := recover(); cause != nil {
		failure := errs.FromPanic(cause)
		b.call.server.opt.Observer.Panicked(shortID(b.call.meta.ID), failure)
		b.call.trace.setCut(failure)
		b.pending, b.endErr = nil, failure
	}
}
