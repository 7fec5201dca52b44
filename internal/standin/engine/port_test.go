package engine_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/metastore"
)

// Guards against a target that cannot start again at its address, because the system has given
// the port to an outgoing connection.
func TestPortOfACrashedTargetStaysReserved(t *testing.T) {
	g := gomega.NewWithT(t)
	store, err := metastore.Start("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	first, err := engine.Start(engine.Settings{ID: "t", Service: "s"}, store)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	first.Crash()
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", first.Settings.Address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}).WithTimeout(10 * time.Second).Should(gomega.MatchError(syscall.ECONNREFUSED))
	local, err := net.ResolveTCPAddr("tcp", first.Settings.Address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	conn, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", store.Address())
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	g.Expect(err).To(gomega.MatchError(syscall.EADDRINUSE))
	again, err := engine.Start(engine.Settings{ID: "t", Service: "s", Address: first.Settings.Address}, store)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again.Crash()
}
