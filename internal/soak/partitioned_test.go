package soak

import (
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// partitions is how often the owner is cut off, and partitionLength for how long. A successor
// orders within that time. orderFlight is about the time limit of an order.
const (
	partitions      = 3
	partitionLength = 4 * time.Second
	orderFlight     = 100 * time.Millisecond
)

// Guards against orders of an owner that was cut off, which its operating system delivers after
// the partition, behind those of a successor, to targets that check no fences. The process may go
// on or be killed meanwhile.
func TestPartitionedOwnerSendsNoOrderAfterItsSuccessor(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cicadaslipd")
	buildDaemon(gomega.NewWithT(t), program)
	for name, c := range map[string]struct {
		seed   uint64
		killed bool
	}{"goes on": {903, false}, "killed": {905, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			r := newRun(Options{Seed: c.seed, VMs: 3, Program: program, Dir: t.TempDir()})
			r.linked = true
			endAndCheck := startOrdering(t, g, r)
			for range partitions {
				g.Eventually(func() int64 { return newestOrder(r.engines).Token }).WithTimeout(startLimit).Should(gomega.BeNumerically(">", 0))
				last := newestOrder(r.engines)
				owner := r.vmOf(last.Holder)
				heal := r.partition(owner)
				if c.killed {
					time.Sleep(orderFlight / 2) // an order is under way
					g.Expect(owner.restart(syscall.SIGKILL)).To(gomega.Succeed())
				}
				time.Sleep(partitionLength)
				g.Eventually(func() int64 { return newestOrder(r.engines).Token }).WithTimeout(startLimit).Should(gomega.BeNumerically(">", last.Token))
				heal()
				time.Sleep(2 * time.Second) // late orders arrive, and the VM is told of its successor
			}
			endAndCheck()
		})
	}
}
