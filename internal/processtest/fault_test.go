package processtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/testcluster"
)

// load sends completions and bookings at random VMs until stopped. Each booking
// is repeated at other VMs.
type load struct {
	cluster *testcluster.Cluster
	checker *checker
	ctx     context.Context
	group   sync.WaitGroup

	mu    sync.Mutex
	known map[string]string // addresses by VM
}

func newLoad(ctx context.Context, cluster *testcluster.Cluster) *load {
	return &load{cluster: cluster, checker: newChecker(), ctx: ctx, known: map[string]string{}}
}

const answerTokens = 8

// run starts workers that send requests until stop is closed, at most the given
// number each.
func (l *load) run(seed uint64, workers, requests int, stop <-chan struct{}) {
	for worker := range workers {
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(worker)))
			for i := range requests {
				select {
				case <-stop:
					return
				default:
					l.one(rng, fmt.Sprintf("key-%d-%d", worker, i), i)
				}
			}
		}()
	}
}

func (l *load) one(rng *rand.Rand, key string, i int) {
	if i%3 == 0 {
		for range 1 + rng.IntN(3) {
			if c, ok := l.caller(rng); ok {
				answer, err := c.Post("/v1/services/"+booking, key, []byte(`{"garment":"`+key+`"}`))
				l.checker.booking(key, answer, err)
			}
		}
		return
	}
	if c, ok := l.caller(rng); ok {
		adapter, prompt := adapterName(rng.IntN(adapterCount)), "prompt "+key
		answer, err := c.Complete(adapter, prompt, answerTokens, rng.IntN(2) == 0)
		l.checker.completion(adapter, prompt, answerTokens, answer, err)
	}
}

func (l *load) caller(rng *rand.Rand) (testcluster.Caller, bool) {
	vms := l.cluster.VMs()
	vm := vms[rng.IntN(len(vms))]
	address, err := l.cluster.Address(l.ctx, vm)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.known[vm] = address
	}
	// While the platform is down the last known address is used.
	return testcluster.Caller{Address: l.known[vm], Token: token, Timeout: callLimit}, l.known[vm] != ""
}

// Guards against wrong, mixed-up or incomplete answers, bookings that run twice
// or run after "not run", and evictions under running requests, while VMs are
// killed and restarted, paused and resumed, runners restart empty and the
// platform has outages.
func TestFaultsUnderLoad(t *testing.T) {
	for _, ignoreFencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("targets ignore fencing tokens %v", ignoreFencing), func(t *testing.T) {
			g := gomega.NewWithT(t)
			seed := uint64(20261204)
			t.Logf("seed %d", seed)
			ctx, cluster := deployment(t, g, func(o *testcluster.Options) { o.IgnoreFencing = ignoreFencing })
			l := newLoad(ctx, cluster)
			stop := make(chan struct{})
			l.run(seed, 8, maxRequests, stop)
			rng := rand.New(rand.NewPCG(seed, 1))
			for _, fault := range rng.Perm(2 * faultKinds) {
				injectFault(t, g, cluster, rng, fault%faultKinds)
			}
			close(stop)
			l.group.Wait()
			l.checker.verify(t, g, cluster)
			g.Expect(l.checker.answered).To(gomega.BeNumerically(">", 0))
		})
	}
}

const (
	faultKinds  = 4
	maxRequests = 5000 // of one worker
)

func injectFault(t *testing.T, g gomega.Gomega, cluster *testcluster.Cluster, rng *rand.Rand, kind int) {
	vms := cluster.VMs()
	vm := vms[rng.IntN(len(vms))]
	runners := cluster.Runners()
	target := runners[rng.IntN(len(runners))]
	pause := time.Duration(500+rng.IntN(3500)) * time.Millisecond
	switch kind {
	case 0:
		t.Log("kill and restart", vm)
		cluster.Daemon(vm).Kill()
		g.Expect(cluster.StartDaemon(vm)).To(gomega.Succeed())
	case 1:
		t.Log("pause", vm, pause)
		cluster.Daemon(vm).Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		cluster.Daemon(vm).Signal(syscall.SIGCONT)
	case 2:
		t.Log("outage of the platform", pause)
		outage(g, cluster, true)
		time.Sleep(pause)
		outage(g, cluster, false)
	case 3:
		t.Log("restart", target.Name)
		g.Expect(cluster.Control(http.MethodPost, target.Address, "/control/restart", nil)).To(gomega.Succeed())
	}
	time.Sleep(500 * time.Millisecond)
}

func outage(g gomega.Gomega, cluster *testcluster.Cluster, on bool) {
	path := fmt.Sprintf("/control/outage?on=%v", on)
	g.Expect(cluster.Control(http.MethodPut, cluster.Platform.Address, path, nil)).To(gomega.Succeed())
}
