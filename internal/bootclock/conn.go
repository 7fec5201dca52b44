package bootclock

import (
	"net"
	"os"
	"time"
)

// Conn is a connection that writes nothing after its write deadline, even if the process
// or the VM was paused between the call of Write and the deadline. It is not safe for
// concurrent writes.
type Conn struct {
	net.Conn
	deadline time.Duration // write deadline on the boot clock, 0 if there is none
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.setWriteDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.setWriteDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *Conn) setWriteDeadline(t time.Time) {
	c.deadline = 0
	if !t.IsZero() {
		c.deadline = Now() + time.Until(t)
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.deadline != 0 && Now() >= c.deadline {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(p)
}
