package callerconn_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/socketstate"
)

// accept opens a connection through a listener with the limits.
func accept(t *testing.T, limits callerconn.Limits) (caller net.Conn, conn *callerconn.Conn) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	caller, err = net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	listener := &callerconn.Listener{Listener: l, Limit: 1, WriteTimeout: time.Second, Limits: func() callerconn.Limits { return limits }}
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = accepted.Close() })
	return caller, accepted.(*callerconn.Conn)
}

// Guards against a request that arrives in time and is dropped, because the process did not
// run when the time limit ended.
func TestInputThatArrivedDuringAPauseIsRead(t *testing.T) {
	limits := callerconn.Limits{First: 50 * time.Millisecond, Idle: 50 * time.Millisecond, Header: 50 * time.Millisecond}
	for name, begin := range map[string]func(*callerconn.Conn){"idle": (*callerconn.Conn).BeginIdle, "header": (*callerconn.Conn).BeginRequest} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			caller, conn := accept(t, limits)
			begin(conn)
			_, err := io.WriteString(caller, "request")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(2 * limits.Idle)
			buf := make([]byte, 16)
			n, err := conn.Read(buf)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(buf[:n])).To(gomega.Equal("request"))
			_, err = conn.Read(buf)
			g.Expect(err).To(gomega.HaveOccurred(), "the time limit has ended")
		})
	}
}

// Guards against a request that crosses the close of an idle connection and is read without
// an answer: its caller could not tell that it has not been passed on.
func TestCloseOfAnIdleConnectionLeavesARequestUnread(t *testing.T) {
	g := gomega.NewWithT(t)
	caller, conn := accept(t, callerconn.Limits{First: time.Second, Idle: time.Second, Header: time.Second})
	_, err := io.WriteString(caller, "request")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() socketstate.State { return socketstate.Of(conn.Conn) }).Should(gomega.Equal(socketstate.Readable))
	g.Expect(conn.Close()).To(gomega.Succeed())
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = caller.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(syscall.ECONNRESET))
}
