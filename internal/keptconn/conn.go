// Package keptconn guards connections that are kept open between requests. A peer in
// trouble may send a second copy of an answer, late, when the connection is in use again;
// the copy would be taken for the answer to the next request.
package keptconn

import (
	"net"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/socketstate"
)

// Conn is a connection that sends no request while bytes are waiting that no request asked
// for, or after the peer has closed it. It is not safe for concurrent writes.
type Conn struct {
	net.Conn
	requesting bool // bytes of the current request have been written, and none of the answer read
}

// New returns a guarded connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn. It fails with errs.TargetUnavailable, without writing, if the
// connection cannot be used for another request.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.requesting && socketstate.Of(c.Conn) != socketstate.Idle {
		return 0, errs.NotRun(errs.TargetUnavailable, "the kept connection holds an answer that nobody asked for, or was closed")
	}
	c.requesting = true
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.requesting = false
	return c.Conn.Read(p)
}
