package socketstate_test

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/socketstate"
)

// Guards against a connection that is taken for idle although bytes are waiting or the peer
// has closed it, and against a look that takes the bytes away.
func TestStateFollowsThePeer(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	peer, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	state := func() socketstate.State { return socketstate.Of(c) }
	g.Expect(state()).To(gomega.Equal(socketstate.Idle))
	_, err = peer.Write([]byte("a"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(state).Should(gomega.Equal(socketstate.Readable))
	buf := make([]byte, 2)
	g.Expect(c.Read(buf)).To(gomega.Equal(1))
	g.Expect(state()).To(gomega.Equal(socketstate.Idle))
	g.Expect(peer.Close()).To(gomega.Succeed())
	g.Eventually(state).Should(gomega.Equal(socketstate.Closed))
}

// Guards against a wait that takes bytes away, or that a deadline, a close or the end of the
// peer's sending does not end.
func TestAwaitLeavesTheInput(t *testing.T) {
	open := func(g *gomega.WithT) (c, peer net.Conn) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }()
		c, err = net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		peer, err = l.Accept()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = peer.Close() })
		return c, peer
	}
	await := func(c net.Conn) chan error {
		result := make(chan error, 1)
		go func() { result <- socketstate.Await(c) }()
		return result
	}
	t.Run("input", func(t *testing.T) {
		g := gomega.NewWithT(t)
		c, peer := open(g)
		result := await(c)
		_, err := peer.Write([]byte("ab"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Eventually(result).Should(gomega.Receive(gomega.BeNil()))
		g.Eventually(func() (int, error) { return c.Read(make([]byte, 4)) }).Should(gomega.Equal(2))
	})
	t.Run("deadline", func(t *testing.T) {
		g := gomega.NewWithT(t)
		c, _ := open(g)
		g.Expect(c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))).To(gomega.Succeed())
		g.Eventually(await(c)).Should(gomega.Receive(gomega.MatchError(os.ErrDeadlineExceeded)))
	})
	t.Run("close", func(t *testing.T) {
		g := gomega.NewWithT(t)
		c, _ := open(g)
		result := await(c)
		g.Expect(c.Close()).To(gomega.Succeed())
		g.Eventually(result).Should(gomega.Receive(gomega.HaveOccurred()))
	})
	t.Run("end of the peer's sending", func(t *testing.T) {
		g := gomega.NewWithT(t)
		c, peer := open(g)
		result := await(c)
		g.Expect(peer.Close()).To(gomega.Succeed())
		g.Eventually(result).Should(gomega.Receive(gomega.BeNil()))
	})
}
