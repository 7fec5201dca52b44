package socketstate_test

import (
	"net"
	"testing"

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
