package soak

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
)

// pausedOwnerRounds is how often the owner is paused.
const pausedOwnerRounds = 3

// Guards against orders of an owner that was stopped between a decision and its sending,
// and continues when a successor has ordered targets that check no fences. The requests
// ask for more adapters than fit, so that there are orders at all times.
func TestPausedOwnerSendsNoOrderAfterItsSuccessor(t *testing.T) {
	g := gomega.NewWithT(t)
	program := filepath.Join(t.TempDir(), "cicadaslipd")
	buildDaemon(g, program)
	r := newRun(Options{Seed: 901, VMs: 4, Program: program, Dir: t.TempDir()})
	endAndCheck := startOrdering(t, g, r)
	for range pausedOwnerRounds {
		g.Eventually(func() int64 { return newestOrder(r.engines).Token }).WithTimeout(startLimit).Should(gomega.BeNumerically(">", 0))
		last := newestOrder(r.engines)
		owner := r.vmOf(last.Holder)
		owner.signal(syscall.SIGSTOP)
		g.Eventually(func() int64 { return newestOrder(r.engines).Token }).WithTimeout(startLimit).Should(gomega.BeNumerically(">", last.Token))
		owner.signal(syscall.SIGCONT)
		time.Sleep(2 * time.Second) // the paused process may send what it had decided
	}
	endAndCheck()
}

// startOrdering starts a run whose targets check no fences, with callers. The function that it
// returns ends the callers and checks the orders.
func startOrdering(t *testing.T, g *gomega.WithT, r *run) (endAndCheck func()) {
	t.Cleanup(r.close)
	g.Expect(r.checkFences()).To(gomega.BeFalse())
	g.Expect(r.start()).To(gomega.Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() { r.call(ctx, rand.New(rand.NewPCG(1, uint64(i)))) })
	}
	return func() {
		cancel()
		wait.Wait()
		for _, target := range r.engines {
			r.checker.checkOrders(target)
		}
		g.Expect(r.checker.violations).To(gomega.BeEmpty())
	}
}

// newestOrder returns the last order with the highest token.
func newestOrder(targets []*engine.Target) engine.ReceivedOrder {
	var newest engine.ReceivedOrder
	for _, t := range targets {
		for _, o := range t.ReceivedOrders() {
			if o.Token > newest.Token || o.Token == newest.Token && o.At.After(newest.At) {
				newest = o
			}
		}
	}
	return newest
}

func (r *run) vmOf(name string) *vm {
	for _, v := range r.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}
