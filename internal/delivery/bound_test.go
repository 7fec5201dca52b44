package delivery_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/delivery"
)

// connect returns both sides of a connection.
func connect(g *gomega.WithT, t *testing.T) (from, to *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	accepted, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _, _ = conn.Close(), accepted.Close() })
	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}

// fill writes to a connection until its peer, which does not read, takes no more.
func fill(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return
		}
	}
}

// Guards against bytes that arrive after the connection was closed, because the operating system
// goes on delivering them.
func TestClosedConnectionDeliversNothingMore(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := connect(g, t)
	g.Expect(delivery.Bound(from, time.Minute)).To(gomega.Succeed())
	fill(from)
	g.Expect(from.Close()).To(gomega.Succeed())
	_, err := io.Copy(io.Discard, to)
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
}

// Guards against bytes that the operating system goes on delivering while the process is stopped
// and can't close the connection.
func TestUnacknowledgedBytesAreDroppedAfterATime(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := connect(g, t)
	g.Expect(delivery.Bound(from, 100*time.Millisecond)).To(gomega.Succeed())
	fill(from)
	// The read waits until the operating system has ended the connection.
	_ = from.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := from.Read(make([]byte, 1))
	g.Expect(errors.Is(err, syscall.ETIMEDOUT)).To(gomega.BeTrue(), "%v", err)
	_ = to.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err = io.Copy(io.Discard, to)
	g.Expect(err).To(gomega.HaveOccurred(), "the peer got everything")
}
