package processtest

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/model"
	"cicadaslip/internal/owner"
	"cicadaslip/internal/testcluster"
)

// relay stands between the VMs and one VM's peer addresses. While it is cut,
// datagrams are dropped and connections, open and new ones, are silent.
type relay struct {
	cut   atomic.Bool
	mu    sync.Mutex
	conns []net.Conn
	tcp   net.Listener
	udp   net.PacketConn
}

func newRelay(t *testing.T, g gomega.Gomega, vm model.VM) *relay {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r := &relay{tcp: tcp, udp: udp}
	go r.forwardDatagrams(vm.PeerUDPAddr)
	go r.acceptConnections(vm.PeerRPCAddr)
	t.Cleanup(r.close)
	return r
}

func (r *relay) forwardDatagrams(to string) {
	target, err := net.ResolveUDPAddr("udp", to)
	buffer := make([]byte, 64<<10)
	for err == nil {
		var n int
		if n, _, err = r.udp.ReadFrom(buffer); err == nil && !r.cut.Load() {
			_, _ = r.udp.WriteTo(buffer[:n], target) // a lost datagram is no fault
		}
	}
}

func (r *relay) acceptConnections(to string) {
	for {
		in, err := r.tcp.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go r.pipe(in, out)
		go r.pipe(out, in)
	}
}

// pipe copies until an end closes. What arrives during a cut is lost, so that the
// connection stays silent for good.
func (r *relay) pipe(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	broken := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		broken = broken || r.cut.Load()
		if !broken {
			if _, err := to.Write(buffer[:n]); err != nil {
				_, _ = io.Copy(io.Discard, from)
			}
		}
	}
}

func (r *relay) close() {
	_ = r.tcp.Close()
	_ = r.udp.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}

// interpose puts a relay before each VM by changing its registration.
func interpose(ctx context.Context, t *testing.T, g gomega.Gomega, cluster *testcluster.Cluster) []*relay {
	var relays []*relay
	for _, name := range cluster.VMs() {
		object, err := cluster.Store.Get(ctx, owner.VMKeyPrefix+name, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var vm model.VM
		g.Expect(json.Unmarshal(object.Value, &vm)).To(gomega.Succeed())
		r := newRelay(t, g, vm)
		vm.PeerRPCAddr, vm.PeerUDPAddr = r.tcp.Addr().String(), r.udp.LocalAddr().String()
		value, err := json.Marshal(vm)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = cluster.Store.Put(ctx, object.Key, value)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		relays = append(relays, r)
	}
	return relays
}

// epochs sums the epochs of the groups that the VMs own.
func epochs(g gomega.Gomega, cluster *testcluster.Cluster) (sum, groups int) {
	output, err := testcluster.Run(binDir, nil, "cicadaslip", "status", "-o", "json", "--settings", cluster.Settings(cluster.VMs()[0]))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var result struct {
		Daemons []struct {
			Groups []struct{ Epoch int }
		} `json:"daemons"`
	}
	g.Expect(json.Unmarshal(output, &result)).To(gomega.Succeed())
	for _, daemon := range result.Daemons {
		for _, group := range daemon.Groups {
			sum += group.Epoch
			groups++
		}
	}
	return sum, groups
}

// Guards against VMs that take each other's groups over while their regions are
// cut from each other, against wrong answers and second bookings meanwhile, and
// against connections that stay silent after the cut.
func TestRegionsCutFromEachOther(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cluster := deployment(t, g, nil)
	relays := interpose(ctx, t, g, cluster)
	l := newLoad(ctx, cluster)
	stop := make(chan struct{})
	l.run(19, 6, maxRequests, stop)
	g.Eventually(l.checker.count).WithTimeout(testLimit).Should(gomega.BeNumerically(">", 20))
	g.Eventually(func() int { _, groups := epochs(g, cluster); return groups }).WithTimeout(testLimit).Should(gomega.Equal(6))
	before, _ := epochs(g, cluster)
	for _, r := range relays {
		r.cut.Store(true)
	}
	time.Sleep(cutTime)
	during := l.checker.count()
	g.Eventually(l.checker.count).WithTimeout(testLimit).Should(gomega.BeNumerically(">", during+5), "requests are answered during the cut")
	for _, r := range relays {
		r.cut.Store(false)
	}
	healed := l.checker.count()
	g.Eventually(l.checker.count).WithTimeout(testLimit).Should(gomega.BeNumerically(">", healed+50))
	close(stop)
	l.group.Wait()
	l.checker.verify(t, g, cluster)
	var after, groups int
	g.Eventually(func() int { after, groups = epochs(g, cluster); return groups }).WithTimeout(testLimit).Should(gomega.Equal(6))
	t.Logf("sum of epochs %d before and %d after the cut", before, after)
	g.Expect(after).To(gomega.Equal(before), "no group changed hands")
}

// cutTime is longer than the silence after which a VM counts as unreachable.
const cutTime = 6 * time.Second
