package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/balance"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/ratelimit"
)

// pauseScene is a service whose targets turn requests away and ask their VM for a pause.
type pauseScene struct {
	allHear bool          // all VMs hear of each pause at once
	share   bool          // targets turn away a VM that has more than twice its share of the slots
	load    float64       // of the capacity
	pause   time.Duration // that targets ask for
}

const (
	sceneVMs      = 7
	sceneTargets  = 6
	sceneSlots    = 8
	sceneWork     = 40 * time.Millisecond // mean
	sceneLength   = 10 * time.Second
	sceneAttempts = 3
)

type pauseResult struct {
	asked, served     int
	arrived, turned   int // at targets
	servedAtSmallest  int // of the VM with the fewest requests
	askedFromSmallest int
}

type ending struct {
	at         time.Duration
	vm, target int
	took       time.Duration
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run plays the scene. VM i has i+1 parts of the requests.
func (s pauseScene) run(seed uint64) pauseResult {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []fleet.Target
	for i := range sceneTargets {
		all = append(all, fleet.Target{ID: fmt.Sprint("t", i), DataCentre: "a", Slots: sceneSlots})
	}
	var balancers []*balance.Balancer
	var tables []*advisory.Table
	for range sceneVMs {
		b := balance.New("a", map[string]string{"a": "r"})
		b.SetTargets(all)
		balancers, tables = append(balancers, b), append(tables, advisory.NewTable())
	}
	var running [sceneTargets][sceneVMs]int
	var ends endings
	var result pauseResult
	weights := sceneVMs * (sceneVMs + 1) / 2
	gap := sceneWork.Seconds() / (s.load * sceneTargets * sceneSlots)
	for now := time.Duration(0); now < sceneLength; now += time.Duration(random.ExpFloat64() * gap * float64(time.Second)) {
		for len(ends) > 0 && ends[0].at <= now {
			e := heap.Pop(&ends).(ending)
			running[e.target][e.vm]--
			balancers[e.vm].Finish(e.at, all[e.target].ID, balance.Answered, e.took)
		}
		vm, part := 0, random.IntN(weights)
		for part >= vm+1 {
			part -= vm + 1
			vm++
		}
		result.asked++
		if vm == 0 {
			result.askedFromSmallest++
		}
		var exclude []string
		for _, p := range tables[vm].Pauses(now) {
			exclude = append(exclude, p.Target)
		}
		for range sceneAttempts {
			picked, found := balancers[vm].Pick(now, exclude)
			if !found {
				break
			}
			target := int(picked.ID[1] - '0')
			result.arrived++
			total := 0
			for _, n := range running[target] {
				total += n
			}
			if total < sceneSlots && !(s.share && running[target][vm] >= 2*sceneSlots/sceneVMs) {
				took := time.Duration(random.ExpFloat64() * float64(sceneWork))
				running[target][vm]++
				heap.Push(&ends, ending{now + took, vm, target, took})
				result.served++
				if vm == 0 {
					result.servedAtSmallest++
				}
				break
			}
			result.turned++
			exclude = append(exclude, picked.ID)
			balancers[vm].Finish(now, picked.ID, balance.Refused, 0)
			for other, table := range tables {
				if other == vm || s.allHear {
					table.Observe(advisory.Incarnation{Target: picked.ID}, advisory.Statement{Pause: s.pause, SentAt: now, HeardAt: now}, ratelimit.Position{})
				}
			}
		}
	}
	return result
}

// Guards against pauses that keep VMs away which the target has not told: that must serve no
// more requests than the pause of the told VM alone. The log has the measurement of
// docs/platform.md.
func TestOthersGainNothingFromPauses(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, share := range []bool{false, true} {
		for _, load := range []float64{0.6, 0.9, 1.2} {
			for _, pause := range []time.Duration{250 * time.Millisecond, time.Second, 3 * time.Second} {
				var sum [2]pauseResult
				for i, allHear := range []bool{false, true} {
					for seed := range uint64(2) {
						r := pauseScene{allHear: allHear, share: share, load: load, pause: pause}.run(seed)
						sum[i].asked += r.asked
						sum[i].served += r.served
						sum[i].arrived += r.arrived
						sum[i].turned += r.turned
						sum[i].askedFromSmallest += r.askedFromSmallest
						sum[i].servedAtSmallest += r.servedAtSmallest
					}
				}
				part := func(a, b int) float64 { return float64(a) / float64(max(1, b)) }
				told, all := sum[0], sum[1]
				t.Logf("by share %v, load %.1f, pause %v: served %.3f of %d told alone, %.3f all; turned away %.3f, %.3f of arrivals; smallest VM served %.3f, %.3f",
					share, load, pause, part(told.served, told.asked), told.asked, part(all.served, all.asked),
					part(told.turned, told.arrived), part(all.turned, all.arrived),
					part(told.servedAtSmallest, told.askedFromSmallest), part(all.servedAtSmallest, all.askedFromSmallest))
				g.Expect(part(all.served, all.asked)).To(gomega.BeNumerically("<=", part(told.served, told.asked)))
			}
		}
	}
}
