package edgetest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/metastore"
)

const (
	// outerBound is added to configBound while the store has been disturbed.
	outerBound = 6 * time.Second
	// stabilityWindow is the time without a disturbance after which the store is stable.
	stabilityWindow = 4 * time.Second
	// followTime is the time after which the VMs that need not read the store follow the owner.
	followTime = 1500 * time.Millisecond
	// lostWrites is how often the operator writes in a history that is lost. The revisions of a
	// few writes after the restore are then below those that were known.
	lostWrites = 20
	// maxLists is how often a VM may list a kind because of a restore: once for the new era, and
	// once more for a call that the restore has interrupted.
	maxLists = 2
	// followedKinds is the number of kinds of objects that VMs follow in the store.
	followedKinds = 4
)

// probeRoute is a route that each later configuration of the test keeps.
func probeRoute(n int) map[string]any {
	return route(fmt.Sprintf("probe%d", n), fmt.Sprintf("/probe%d/", n), "idempotent", app, 2, false, 1000)
}

func probePath(n int) string { return fmt.Sprintf("/probe%d/x", n) }

// configureProbes writes a configuration with routes 1 to n.
func (c *cluster) configureProbes(n int) {
	routes := make([]map[string]any, 0, n)
	for i := 1; i <= n; i++ {
		routes = append(routes, probeRoute(i))
	}
	c.configure(routes...)
}

// awaitProbe expects that all VMs serve a route within a time.
func (c *cluster) awaitProbe(n int, bound time.Duration, what string) {
	began := time.Now()
	c.g.Eventually(func() []int { return c.statuses(probePath(n)) }).WithTimeout(bound).
		Should(gomega.HaveEach(http.StatusOK), "route %d, %s", n, what)
	c.t.Logf("route %d is served by all VMs after %v, %s", n, time.Since(began), what)
}

// loseHistory writes configurations with routes 1 to n that a restore undoes, and waits until
// they are in force.
func (c *cluster) loseHistory(n int) {
	for range lostWrites {
		c.configureProbes(n)
	}
	c.awaitProbe(n, configBound, "in the history that is lost")
	time.Sleep(time.Second) // all VMs have read the last revision
}

// restore makes the store refuse for a moment and come back from a copy.
func (c *cluster) restore(copied metastore.Snapshot) {
	c.store.SetFault(metastore.Refuse)
	time.Sleep(300 * time.Millisecond)
	c.store.RestoreTo(copied)
	c.store.SetFault(metastore.None)
	c.t.Logf("the store is back in era %d", c.store.Era())
}

// rewrite makes the targets write their entries again.
func (c *cluster) rewrite() {
	for _, target := range append(append([]*engine.Target{}, c.engines...), c.apps...) {
		c.g.Expect(target.Beat()).To(gomega.Succeed())
	}
}

// awaitFollowers waits until there is an owner and the other VMs follow it.
func (c *cluster) awaitFollowers() {
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	time.Sleep(followTime)
}

// inBackground repeats f until the returned function is called.
func inBackground(f func()) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				f()
			}
		}
	})
	return func() { close(done); wait.Wait() }
}

// Guards against VMs on which a configuration that was written after a restore is late, or does
// not come into force, because its revision is lower than those of the lost history.
func TestConfigurationsComeIntoForceAfterARestore(t *testing.T) {
	for name, prepare := range map[string]func(*cluster){
		"watches_answered": func(*cluster) {},
		"watches_cut":      func(c *cluster) { c.store.CutWatches() },
	} {
		t.Run(name, func(t *testing.T) {
			c := start(t, 5, prepare)
			c.awaitFollowers()
			copied := c.store.Snapshot()
			c.loseHistory(1)
			c.restore(copied)
			c.configureProbes(2)
			c.rewrite()
			c.awaitProbe(2, configBound+outerBound, "written after the restore")
			time.Sleep(stabilityWindow)
			for n := 3; n <= 5; n++ {
				c.configureProbes(n)
				c.awaitProbe(n, configBound, "written to the stable store")
			}
		})
	}
}

// Guards against VMs that miss configurations after two restores within seconds, the second
// from a copy that is older than the first restore.
func TestConfigurationsComeIntoForceAfterTwoRestores(t *testing.T) {
	c := start(t, 5)
	c.awaitFollowers()
	older := c.store.Snapshot()
	c.configureProbes(1)
	copied := c.store.Snapshot()
	c.loseHistory(2)
	c.restore(copied)
	c.configureProbes(3)
	c.rewrite()
	time.Sleep(time.Second)
	c.restore(older)
	c.configureProbes(4)
	c.rewrite()
	c.awaitProbe(4, configBound+outerBound, "written after the second restore")
	time.Sleep(stabilityWindow)
	c.configureProbes(5)
	c.awaitProbe(5, configBound, "written to the stable store")
}

// Guards against a VM that goes back to the configuration of the copy before the operator has
// written the newest one again.
func TestConfigurationNeverGoesBackAtARestore(t *testing.T) {
	c := start(t, 5)
	c.awaitFollowers()
	copied := c.store.Snapshot()
	c.loseHistory(2)
	var refused sync.Map
	var stops []func()
	for i, v := range c.vms {
		stops = append(stops, inBackground(func() {
			if a := c.ask(v, request{method: http.MethodGet, path: probePath(2)}); a.status == http.StatusNotFound {
				refused.LoadOrStore(fmt.Sprintf("vm%d", i), time.Now())
			}
			time.Sleep(20 * time.Millisecond)
		}))
	}
	for range 2 {
		c.restore(copied)
		time.Sleep(2 * time.Second)
		c.configureAgain()
		c.rewrite()
		time.Sleep(time.Second)
	}
	for _, stop := range stops {
		stop()
	}
	refused.Range(func(vm, at any) bool {
		t.Errorf("%v answered 404 for a route that was in force, first at %v", vm, at)
		return true
	})
	time.Sleep(stabilityWindow)
	c.configureProbes(3)
	c.awaitProbe(3, configBound, "written to the stable store")
}

// Guards against a target that has left and is used again because the copy has its entry as it
// was before.
func TestLeftTargetIsNotUsedAfterARestore(t *testing.T) {
	for name, leave := range map[string]func(*cluster, *engine.Target) error{
		"draining": func(_ *cluster, target *engine.Target) error { return target.Leave() },
		"entry_removed": func(c *cluster, target *engine.Target) error {
			c.store.Remove("servers", target.Settings.ID)
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := start(t, 5)
			c.awaitFollowers()
			copied := c.store.Snapshot()
			left := c.apps[0]
			c.g.Expect(leave(c, left)).To(gomega.Succeed())
			c.loseHistory(1)
			began := time.Now()
			time.Sleep(drainBound)
			c.restore(copied)
			c.configureAgain()
			for end := time.Now().Add(drainBound + 2*time.Second); time.Now().Before(end); {
				for _, v := range c.vms {
					c.ask(v, request{path: booking + "x"})
				}
			}
			c.g.Expect(runsAfter(left, began.Add(drainBound))).To(gomega.BeEmpty())
		})
	}
}

// Guards against a target whose entry was lost with the history and that is not used although
// it has written its entry again, and against one that is used after it has left since.
func TestTargetsThatRegisterAgainAreUsedAfterARestore(t *testing.T) {
	c := start(t, 5)
	c.awaitFollowers()
	copied := c.store.Snapshot()
	late := c.target(engine.Settings{ID: "late", Service: app, Zone: dataCentres[0], Slots: 6, Pause: 5 * time.Millisecond})
	c.loseHistory(1)
	c.restore(copied)
	c.configureAgain()
	time.Sleep(time.Second)
	c.g.Expect(late.Beat()).To(gomega.Succeed())
	time.Sleep(stabilityWindow)
	for _, target := range c.apps {
		c.g.Expect(target.Leave()).To(gomega.Succeed())
	}
	left := time.Now()
	c.g.Eventually(func() int {
		c.statuses(lookup + "x")
		return len(runsAfter(late, left))
	}).WithTimeout(limit).Should(gomega.BeNumerically(">", 0))
	for end := left.Add(drainBound + 2*time.Second); time.Now().Before(end); {
		c.statuses(lookup + "x")
	}
	c.g.Expect(c.statuses(lookup + "x")).To(gomega.HaveEach(http.StatusOK))
	for _, target := range c.apps {
		c.g.Expect(runsAfter(target, left.Add(drainBound))).To(gomega.BeEmpty(), target.Settings.ID)
	}
}

// runsAfter returns the requests that a target began to run after a time.
func runsAfter(target *engine.Target, at time.Time) (ids []string) {
	for _, r := range target.Runs() {
		if r.At.After(at) {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// load asks each VM for adapters in turn, so that the owner orders loads all the time.
func (c *cluster) load() (stop func()) {
	n := 0
	return inBackground(func() {
		var wait sync.WaitGroup
		for _, v := range c.vms {
			n++
			r := request{path: quote + "x", adapter: fmt.Sprintf("a%d", n%40), deadline: 2 * time.Second}
			wait.Go(func() { c.ask(v, r) })
		}
		wait.Wait()
	})
}

// checkEpochs expects that no epoch has two owners, and that no engine gets an order of an
// epoch after one of a later epoch. It returns the newest epoch.
func (c *cluster) checkEpochs() (newest int64) {
	owners := map[int64]string{}
	for _, target := range c.engines {
		last := engine.ReceivedOrder{}
		for _, o := range target.ReceivedOrders() {
			owner, found := owners[o.Token]
			c.g.Expect(!found || owner == o.Holder).To(gomega.BeTrue(), "%s got an order of %s with epoch %d of %s", target.Settings.ID, o.Holder, o.Token, owner)
			owners[o.Token] = o.Holder
			c.g.Expect(o.Token).To(gomega.BeNumerically(">=", last.Token), "%s got an order of %s %v after one of %s",
				target.Settings.ID, o.Holder, o.At.Sub(last.At), last.Holder)
			last = o
			newest = max(newest, o.Token)
		}
	}
	c.t.Logf("owners by epoch: %v", owners)
	return newest
}

// stopVM shuts a VM down and takes it out of the cluster.
func (c *cluster) stopVM(v *vm) (index int) {
	close(v.stop)
	c.g.Eventually(v.done).WithTimeout(shutdownGrace + time.Second).Should(gomega.BeClosed())
	for i, other := range c.vms {
		if other == v {
			index = i
		}
	}
	c.vms = append(append([]*vm{}, c.vms[:index]...), c.vms[index+1:]...)
	return index
}

// Guards against an epoch that is given to two VMs: the copy does not know of a takeover, and
// the former owner, started anew, takes the group over with the epoch of the acting owner.
func TestNoEpochHasTwoOwnersAfterARestore(t *testing.T) {
	c := start(t, 5)
	c.awaitFollowers()
	stop := c.load()
	time.Sleep(time.Second)
	stop()
	former := c.owner()
	copied := c.store.Snapshot()
	index := c.stopVM(former)
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	stop = c.load()
	time.Sleep(2 * time.Second)
	stop()
	before := c.checkEpochs()
	c.restore(copied)
	c.configureAgain()
	c.rewrite()
	c.vms = append(c.vms, c.vm(index))
	c.g.Eventually(c.vms[len(c.vms)-1].ready).WithTimeout(limit).Should(gomega.Equal(http.StatusOK))
	stop = c.load()
	time.Sleep(stabilityWindow + 2*time.Second)
	stop()
	c.g.Expect(c.checkEpochs()).To(gomega.BeNumerically(">=", before))
	c.g.Eventually(func() int { return c.owners() }).WithTimeout(limit).Should(gomega.Equal(1), "owners")
}

// owners returns the number of VMs that own the engines' group.
func (c *cluster) owners() int {
	count := 0
	for _, v := range c.vms {
		for _, name := range v.daemon.OwnedGroups() {
			if name == groupserver.GroupName(llm, 0) {
				count++
			}
		}
	}
	return count
}

// Guards against a group that has no owner, or two, because its record is gone from the copy,
// and against a gap in service meanwhile.
func TestGroupWhoseRecordIsGoneHasAnOwner(t *testing.T) {
	var empty metastore.Snapshot
	c := start(t, 5, func(c *cluster) { empty = c.store.Snapshot() })
	c.awaitFollowers()
	stop := c.load()
	time.Sleep(time.Second)
	stop()
	c.restore(empty)
	c.configureAgain()
	c.rewrite()
	restored := time.Now()
	for time.Since(restored) < stabilityWindow {
		for _, v := range c.vms {
			a := c.ask(v, request{path: quote + "x", adapter: "a1"})
			c.g.Expect(a.status).To(gomega.Equal(http.StatusOK), "%v after the restore", time.Since(restored))
		}
	}
	stop = c.load()
	time.Sleep(2 * time.Second)
	stop()
	c.g.Eventually(func() []byte {
		return c.store.Spec(groupserver.Kind, groupserver.ObjectName(groupserver.GroupName(llm, 0), c.store.Era()))
	}).
		WithTimeout(limit).ShouldNot(gomega.BeNil(), "record of the group")
	c.g.Eventually(c.owners).WithTimeout(limit).Should(gomega.Equal(1), "owners")
	before := c.checkEpochs()
	c.stopVM(c.owner())
	c.g.Eventually(c.owners).WithTimeout(limit).Should(gomega.Equal(1), "owners after a shutdown")
	stop = c.load()
	time.Sleep(2 * time.Second)
	stop()
	c.g.Expect(c.checkEpochs()).To(gomega.BeNumerically(">", before))
}

// announce tells the engines and the store the newest version of an adapter.
func (c *cluster) announce(adapter string, version int64) {
	for _, target := range c.engines {
		target.Announce(adapter, version)
	}
	c.writeVersion(adapter, version)
}

func (c *cluster) writeVersion(adapter string, version int64) {
	c.g.Expect(c.store.Put("versions", model+"."+adapter, map[string]any{"model": model, "adapter": adapter, "version": version})).To(gomega.Succeed())
}

// askVersion asks all VMs for an adapter over a time and expects that what begins after the
// bound runs on a version.
func (c *cluster) askVersion(adapter string, version int64, bound, longer time.Duration) {
	announced := time.Now()
	for time.Since(announced) < bound+longer {
		for _, v := range c.vms {
			c.ask(v, request{path: quote + "x", adapter: adapter})
		}
	}
	count := 0
	for _, target := range c.engines {
		for _, r := range target.Runs() {
			if r.Adapter == adapter && r.At.Sub(announced) > bound {
				count++
				c.g.Expect(r.Version).To(gomega.Equal(version), "%s at %s, %v after the announcement", r.ID, target.Settings.ID, r.At.Sub(announced))
			}
		}
	}
	c.g.Expect(count).To(gomega.BeNumerically(">", 0), "no request began after the bound")
}

// Guards against versions of adapters that are announced after a restore, or written again, and
// not used because their revision is lower than one of the lost history.
func TestAnnouncedVersionsAreUsedAfterARestore(t *testing.T) {
	c := start(t, 5)
	c.awaitFollowers()
	c.announce("a1", 2)
	copied := c.store.Snapshot()
	for version := int64(3); version < lostWrites; version++ {
		c.announce("a1", version)
		c.announce("a2", version)
	}
	c.loseHistory(1)
	c.restore(copied)
	c.configureAgain()
	c.rewrite()
	c.writeVersion("a1", lostWrites-1)
	c.announce("a2", lostWrites)
	c.askVersion("a1", lostWrites-1, versionBound+outerBound, time.Second)
	c.askVersion("a2", lostWrites, versionBound, time.Second)
	c.announce("a1", lostWrites+1)
	c.askVersion("a1", lostWrites+1, versionBound, time.Second)
}

// Guards against a VM that was cut off from the store during a restore, comes back and goes on
// with what it knows from the lost history.
func TestVMThatIsCutOffAcrossARestoreCatchesUp(t *testing.T) {
	for _, name := range []string{"owner", "another_VM", "all_but_one"} {
		t.Run(name, func(t *testing.T) {
			c := start(t, 5)
			c.awaitFollowers()
			copied := c.store.Snapshot()
			c.loseHistory(1)
			owner := c.owner()
			var cut []*vm
			for _, v := range c.vms {
				switch {
				case name == "owner" && v == owner, name == "another_VM" && v != owner && len(cut) == 0, name == "all_but_one" && v != owner:
					v.link.Set(true, false, 0)
					cut = append(cut, v)
				}
			}
			c.restore(copied)
			c.configureProbes(2)
			c.rewrite()
			c.awaitProbe(2, configBound+outerBound, "written while VMs are cut off")
			for _, v := range cut {
				v.link.Set(false, false, 0)
				v.link.Reset()
			}
			time.Sleep(stabilityWindow)
			for n := 3; n <= 4; n++ {
				c.configureProbes(n)
				c.awaitProbe(n, configBound, "written to the stable store")
			}
			c.g.Eventually(c.owners).WithTimeout(limit).Should(gomega.Equal(1), "owners")
		})
	}
}

// Guards against VMs that were started after a restore and get from the others, or tell them,
// what the lost history had.
func TestVMStartedAfterARestoreAgreesWithTheOthers(t *testing.T) {
	c := start(t, 5)
	c.awaitFollowers()
	copied := c.store.Snapshot()
	c.loseHistory(1)
	c.restore(copied)
	c.configureProbes(2)
	c.rewrite()
	for i := range 2 {
		v := c.vm(5 + i)
		c.g.Eventually(v.ready).WithTimeout(limit).Should(gomega.Equal(http.StatusOK))
		c.vms = append(c.vms, v)
	}
	c.awaitProbe(2, configBound+outerBound, "written after the restore")
	time.Sleep(stabilityWindow)
	c.configureProbes(3)
	c.awaitProbe(3, configBound, "written to the stable store")
	c.g.Eventually(c.owners).WithTimeout(limit).Should(gomega.Equal(1), "owners")
}

// Guards against VMs that list a kind and watch it in turn without an end, because the store
// does not have the revision that they know.
func TestRestoreCostsFewCallsToTheStore(t *testing.T) {
	c := start(t, 5)
	c.awaitFollowers()
	copied := c.store.Snapshot()
	c.loseHistory(1)
	for _, target := range c.apps {
		for range lostWrites {
			c.g.Expect(target.Beat()).To(gomega.Succeed())
		}
	}
	time.Sleep(2 * time.Second) // until these are read
	lists := c.store.Calls(metastore.ListCalls)
	c.restore(copied)
	time.Sleep(stabilityWindow)
	c.configureAgain()
	c.rewrite()
	time.Sleep(stabilityWindow)
	lists = c.store.Calls(metastore.ListCalls) - lists
	t.Logf("%d lists for a restore at %d VMs", lists, len(c.vms))
	c.g.Expect(lists).To(gomega.BeNumerically("<=", maxLists*followedKinds*len(c.vms)))
}

// Guards against answers of the former era that arrive late and replace what a VM knows of the
// current one.
func TestLateAnswersOfALostHistoryAreNotUsed(t *testing.T) {
	c := start(t, 5)
	c.awaitFollowers()
	copied := c.store.Snapshot()
	c.loseHistory(1)
	release := c.store.HoldAnswers(http.MethodGet, "config")
	c.configureProbes(1) // the watches are answered now, and the answers held up
	time.Sleep(500 * time.Millisecond)
	c.restore(copied)
	c.configureProbes(2)
	c.rewrite()
	time.Sleep(300 * time.Millisecond)
	release()
	c.awaitProbe(2, configBound+outerBound, "written after the restore")
	time.Sleep(stabilityWindow)
	c.configureProbes(3)
	c.awaitProbe(3, configBound, "written to the stable store")
	c.g.Expect(strings.Count(c.logs.text(), `"level":"error"`)).To(gomega.BeZero())
}

// atOnce is the number of requests at a VM that make it use all of four targets.
const atOnce = 16

// askAtOnce sends several requests to each VM at the same time. One at a time may all go to the
// target that has answered fastest.
func (c *cluster) askAtOnce(path string) {
	var asked sync.WaitGroup
	for _, v := range c.vms {
		for range atOnce {
			asked.Go(func() { c.ask(v, request{method: http.MethodGet, path: path}) })
		}
	}
	asked.Wait()
}

// Guards against changes of a target that are ignored after a restore, because their revision is
// lower than the one at which the target was known in the lost history.
func TestChangesOfATargetFromALostHistoryAreNoticed(t *testing.T) {
	settings := engine.Settings{ID: "late", Service: app, Zone: dataCentres[0], Slots: 6, Pause: 5 * time.Millisecond}
	registered := func(t *testing.T) (*cluster, *engine.Target) {
		c := start(t, 5)
		c.awaitFollowers()
		copied := c.store.Snapshot()
		c.loseHistory(1)
		late := c.target(settings)
		c.g.Eventually(func() int { c.askAtOnce(lookup + "x"); return len(late.Runs()) }).WithTimeout(limit).Should(gomega.BeNumerically(">", 0))
		c.restore(copied)
		c.configureAgain()
		c.rewrite()
		c.g.Expect(late.Beat()).To(gomega.Succeed())
		time.Sleep(stabilityWindow)
		return c, late
	}
	ask := func(c *cluster, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			c.askAtOnce(lookup + "x")
		}
	}
	t.Run("leaves", func(t *testing.T) {
		c, late := registered(t)
		c.g.Expect(late.Leave()).To(gomega.Succeed())
		left := time.Now()
		ask(c, drainBound+2*time.Second)
		c.g.Expect(runsAfter(late, left.Add(drainBound))).To(gomega.BeEmpty())
	})
	t.Run("entry_removed", func(t *testing.T) {
		c, late := registered(t)
		c.store.Remove("servers", late.Settings.ID)
		left := time.Now()
		ask(c, drainBound+2*time.Second)
		c.g.Expect(runsAfter(late, left.Add(drainBound))).To(gomega.BeEmpty())
	})
	t.Run("starts_anew_elsewhere", func(t *testing.T) {
		c, late := registered(t)
		late.Crash()
		time.Sleep(2 * time.Millisecond) // its time of start differs
		next := c.target(settings)
		c.g.Eventually(func() int { c.askAtOnce(lookup + "x"); return len(next.Runs()) }).WithTimeout(limit).Should(gomega.BeNumerically(">", 0))
	})
}

// Guards against a group that nobody can take over after a restore, because its record has a
// lower revision than the one that the VMs know.
func TestKilledOwnerIsReplacedAfterARestore(t *testing.T) {
	c := start(t, 5)
	c.awaitFollowers()
	copied := c.store.Snapshot()
	for range lostWrites {
		c.configureProbes(1)
	}
	c.stopVM(c.owner())
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	time.Sleep(followTime)
	c.restore(copied)
	c.configureAgain()
	c.rewrite()
	time.Sleep(stabilityWindow)
	owner := c.owner()
	c.g.Expect(owner).NotTo(gomega.BeNil(), "an owner after the restore")
	owner.daemon.Kill()
	for i, v := range c.vms {
		if v == owner {
			c.vms = append(append([]*vm{}, c.vms[:i]...), c.vms[i+1:]...)
			break
		}
	}
	n := 50
	for _, v := range c.vms {
		c.g.Eventually(func() int {
			n++
			return c.ask(v, request{path: quote + "x", adapter: fmt.Sprintf("a%d", n)}).status
		}).WithTimeout(limit).Should(gomega.Equal(http.StatusOK), "an adapter that has to be loaded")
	}
	c.checkEpochs()
	c.g.Eventually(c.owners).WithTimeout(limit).Should(gomega.Equal(1), "owners")
}
