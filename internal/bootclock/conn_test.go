package bootclock_test

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/bootclock"
)

// deafConn ignores deadlines, as a connection does whose process wakes up after a pause
// and runs before its timers.
type deafConn struct {
	net.Conn
	written int
}

func (c *deafConn) SetWriteDeadline(time.Time) error { return nil }

func (c *deafConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return len(p), nil
}

// Guards against an order that a process sends when it wakes up from a pause, after the
// order's time has passed.
func TestNothingIsWrittenAfterTheDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	under := &deafConn{}
	c := &bootclock.Conn{Conn: under}
	g.Expect(c.SetWriteDeadline(time.Now().Add(time.Hour))).To(gomega.Succeed())
	g.Expect(c.Write([]byte("ab"))).To(gomega.Equal(2))
	g.Expect(c.SetWriteDeadline(time.Now().Add(-time.Millisecond))).To(gomega.Succeed())
	_, err := c.Write([]byte("cd"))
	g.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
	g.Expect(under.written).To(gomega.Equal(2))
	g.Expect(c.SetWriteDeadline(time.Time{})).To(gomega.Succeed())
	g.Expect(c.Write([]byte("ef"))).To(gomega.Equal(2))
}
