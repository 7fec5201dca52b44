package edgetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/metastore"
)

const (
	// configBound is the time in which a configuration is in force everywhere.
	configBound = 2500 * time.Millisecond
	// drainBound is the time after which a leaving target gets no new work.
	drainBound = 2500 * time.Millisecond
	// versionBound is the time after which only the announced version begins.
	versionBound = 5 * time.Second
)

func (c *cluster) statuses(path string) []int {
	var all []int
	for _, v := range c.vms {
		all = append(all, c.ask(v, request{method: http.MethodGet, path: path}).status)
	}
	return all
}

// Guards against a configuration that is late, partial or taken back.
func TestConfigurationsComeIntoForceAndStay(t *testing.T) {
	c := start(t, 3)
	c.configure(route("new", "/new/", "idempotent", app, 2, false, 1000))
	sent := time.Now()
	c.g.Eventually(func() []int { return c.statuses("/new/x") }).WithTimeout(configBound).Should(gomega.HaveEach(http.StatusOK))
	t.Logf("in force on all VMs after %v", time.Since(sent))
	c.dropped["lookup"] = true
	c.configure()
	c.g.Eventually(func() []int { return c.statuses(lookup + "x") }).WithTimeout(configBound).Should(gomega.HaveEach(http.StatusNotFound))
	old := c.version
	c.version = 0
	c.dropped["lookup"] = false
	c.configure() // an old version, as a stale writer would leave it
	c.g.Consistently(func() []int { return c.statuses(lookup + "x") }).WithTimeout(time.Second).Should(gomega.HaveEach(http.StatusNotFound))
	c.version = old
}

// Guards against VMs that follow an owner and do not get a configuration that is too large for
// the replies to their calls, while they cannot read it from the store.
func TestLargeConfigurationReachesVMsWithoutTheStore(t *testing.T) {
	c := start(t, 5)
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	time.Sleep(1500 * time.Millisecond) // the others follow the owner
	owner := c.owner()
	for _, v := range c.vms {
		if v != owner {
			v.link.Set(true, false, 0)
		}
	}
	routes := []map[string]any{route("new", "/new/", "idempotent", app, 2, false, 1000)}
	for i := range 400 {
		routes = append(routes, route(fmt.Sprint("more", i), fmt.Sprint("/more", i, "/"), "idempotent", app, 2, false, 1000))
	}
	c.configure(routes...)
	c.g.Eventually(func() []int { return c.statuses("/new/x") }).WithTimeout(configBound).Should(gomega.HaveEach(http.StatusOK))
}

// Guards against VMs that stop serving, or miss what changed, when the store is
// away, silent, or has dropped its history.
func TestOutagesOfTheStoreAreSurvived(t *testing.T) {
	for _, fault := range []metastore.Fault{metastore.Refuse, metastore.Silent} {
		t.Run(string(fault), func(t *testing.T) {
			c := start(t, 3)
			c.g.Expect(c.ask(c.vms[0], request{path: quote + "x", adapter: "a1"}).status).To(gomega.Equal(http.StatusOK))
			c.store.SetFault(fault)
			for i := range 12 {
				a := c.ask(c.vms[i%3], request{path: quote + "x", adapter: "a1"})
				c.g.Expect(a.status).To(gomega.Equal(http.StatusOK))
				time.Sleep(100 * time.Millisecond)
			}
			c.store.Compact()
			c.configure(route("new", "/new/", "idempotent", app, 2, false, 1000))
			c.store.SetFault(metastore.None)
			c.g.Eventually(func() []int { return c.statuses("/new/x") }).WithTimeout(configBound).Should(gomega.HaveEach(http.StatusOK))
		})
	}
}

// Guards against a VM that serves without knowing any configuration.
func TestAVMWithoutAConfigurationRefuses(t *testing.T) {
	c := start(t, 1)
	c.store.SetFault(metastore.Refuse)
	v := c.vm(5)
	c.g.Eventually(func() int { return c.ask(v, request{method: http.MethodGet, path: lookup + "x"}).status }).
		WithTimeout(limit).Should(gomega.Equal(http.StatusServiceUnavailable))
	c.g.Expect(v.ready()).To(gomega.Equal(http.StatusServiceUnavailable))
	c.store.SetFault(metastore.None)
	c.g.Eventually(v.ready).WithTimeout(limit).Should(gomega.Equal(http.StatusOK))
}

// Guards against new work on a leaving target.
func TestALeavingTargetGetsNoNewWork(t *testing.T) {
	c := start(t, 3)
	ask := func() {
		for _, v := range c.vms {
			c.ask(v, request{path: quote + "x", adapter: "a1"})
			c.ask(v, request{path: booking + "x"})
		}
	}
	ask()
	leaving := []*engine.Target{c.engines[0], c.apps[0]}
	for _, target := range leaving {
		c.g.Expect(target.Leave()).To(gomega.Succeed())
	}
	left := time.Now()
	for time.Since(left) < drainBound+time.Second {
		ask()
	}
	for _, target := range leaving {
		for _, r := range target.Runs() {
			c.g.Expect(r.At.Sub(left)).To(gomega.BeNumerically("<", drainBound))
		}
	}
}

// owner returns the VM that owns the engines' group.
func (c *cluster) owner() *vm {
	for i, v := range c.vms {
		for _, name := range v.daemon.OwnedGroups() {
			if name == groupserver.GroupName(llm, 0) {
				c.t.Logf("vm%d owns the group", i)
				return v
			}
		}
	}
	return nil
}

// Guards against adapters that cannot be loaded after the owner's end, and
// against owners that take turns in giving orders.
func TestAKilledOwnerIsReplaced(t *testing.T) {
	c := start(t, 3)
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	c.g.Expect(c.ask(c.vms[0], request{path: quote + "x", adapter: "a1"}).status).To(gomega.Equal(http.StatusOK))
	former := c.owner()
	former.daemon.Kill()
	killed := time.Now()
	var left []*vm
	for _, v := range c.vms {
		if v != former {
			left = append(left, v)
		}
	}
	a := c.ask(left[0], request{path: quote + "x", adapter: "a1"})
	c.g.Expect(a.status).To(gomega.Equal(http.StatusOK), "what is resident is served meanwhile")
	b := c.ask(left[1], request{path: quote + "x", adapter: "a7"})
	c.g.Expect(b.status).To(gomega.Equal(http.StatusOK), "the rest waits for the next owner")
	t.Logf("the first load came %v after the end of the owner", time.Since(killed))
	c.vms = left
	for _, target := range c.engines {
		c.g.Expect(turns(target.Holders())).To(gomega.BeNumerically("<=", 2))
	}
}

// turns counts how often the holder changes.
func turns(holders []string) int {
	count := 0
	for i, h := range holders {
		if i == 0 || holders[i-1] != h {
			count++
		}
	}
	return count
}

// Guards against requests that begin on an old version after the new one was
// announced, and against a gap in service meanwhile.
func TestAnAnnouncedVersionIsUsed(t *testing.T) {
	c := start(t, 3)
	c.g.Expect(c.ask(c.vms[0], request{path: quote + "x", adapter: "a1"}).status).To(gomega.Equal(http.StatusOK))
	for _, target := range c.engines {
		target.Announce("a1", 2)
	}
	c.g.Expect(c.store.Put("versions", model+".a1", map[string]any{"model": model, "adapter": "a1", "version": 2})).To(gomega.Succeed())
	announced := time.Now()
	var wait sync.WaitGroup
	for i := 0; time.Since(announced) < versionBound+time.Second; i++ {
		wait.Go(func() {
			a := c.ask(c.vms[i%3], request{path: quote + "x", adapter: "a1"})
			c.g.Expect(a.status).To(gomega.Equal(http.StatusOK))
		})
		time.Sleep(40 * time.Millisecond)
	}
	wait.Wait()
	for _, target := range c.engines {
		for _, r := range target.Runs() {
			if r.At.Sub(announced) > versionBound {
				c.g.Expect(r.Version).To(gomega.Equal(int64(2)))
			}
		}
	}
}

// Guards against a shutdown that cuts requests, and against a VM that counts as
// ready while it shuts down.
func TestAShutdownCutsNothing(t *testing.T) {
	c := start(t, 3)
	for i := range 6 {
		c.ask(c.vms[0], request{path: quote + "x", adapter: fmt.Sprintf("a%d", i)})
	}
	v := c.owner()
	c.g.Expect(v).NotTo(gomega.BeNil())
	var wait sync.WaitGroup
	stopped := make(chan struct{})
	for i := range 40 {
		wait.Go(func() {
			a := c.ask(v, request{path: quote + "x", adapter: fmt.Sprintf("a%d", i%6)})
			c.g.Expect(a.err).NotTo(gomega.HaveOccurred())
			c.g.Expect(a.status).To(gomega.BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
		})
		if i == 10 {
			close(v.stop)
			go func() { <-v.done; close(stopped) }()
		}
		time.Sleep(30 * time.Millisecond)
	}
	c.g.Expect(v.ready()).To(gomega.Equal(http.StatusServiceUnavailable))
	wait.Wait()
	c.g.Eventually(stopped).WithTimeout(9 * time.Second).Should(gomega.BeClosed())
	for _, other := range c.vms {
		if other != v {
			a := c.ask(other, request{path: quote + "x", adapter: "a99"})
			c.g.Expect(a.status).To(gomega.Equal(http.StatusOK), "another VM owns the group")
		}
	}
}

// Guards against VMs that miss a configuration or a leaving target because the VM
// that they follow has lost the store without noticing.
func TestAnOwnerWithoutTheStoreHidesNothing(t *testing.T) {
	c := start(t, 5)
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	time.Sleep(1500 * time.Millisecond) // the others follow the owner
	owner := c.owner()
	owner.link.Set(true, false, 0)
	c.configure(route("new", "/new/", "idempotent", app, 2, false, 1000))
	c.g.Expect(c.apps[0].Leave()).To(gomega.Succeed())
	changed := time.Now()
	c.g.Eventually(func() []int { return c.statuses("/new/x") }).WithTimeout(configBound).Should(gomega.HaveEach(http.StatusOK))
	for time.Since(changed) < drainBound+time.Second {
		c.statuses("/new/x")
	}
	for _, r := range c.apps[0].Runs() {
		c.g.Expect(r.At.Sub(changed)).To(gomega.BeNumerically("<", drainBound))
	}
}

// Guards against a request that a VM takes on a kept connection shortly before its
// process ends, and cuts.
func TestKeptConnectionsEndWithAShutdown(t *testing.T) {
	c := start(t, 2)
	v := c.vms[0]
	conn, err := net.Dial("tcp", v.daemon.CallerAddress())
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	ask := func(id string) (int, error) {
		_, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", booking, host, id)
		if err != nil {
			return 0, err
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	status, err := ask("kept-1")
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	c.g.Expect(status).To(gomega.Equal(http.StatusOK))
	close(v.stop)
	time.Sleep(4500 * time.Millisecond)
	if status, err = ask("kept-2"); err == nil {
		c.g.Expect(status).To(gomega.BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
	} else {
		c.g.Expect(c.runs("kept-2")).To(gomega.BeEmpty(), "it was cut after it had been passed on")
	}
	c.g.Eventually(v.done).WithTimeout(9 * time.Second).Should(gomega.BeClosed())
}

// Guards against a shutdown beside an outage of the store that waits for the release of one
// group after the other, takes requests meanwhile, and cuts them at the end of its time.
func TestAShutdownDoesNotWaitForTheStore(t *testing.T) {
	c := start(t, 1)
	v := c.vms[0]
	c.engine2 = true
	c.configure()
	c.target(engine.Settings{ID: "second", Service: llm2, Zone: dataCentres[0], Model: model, Slots: 16, Adapters: 4})
	c.g.Eventually(v.daemon.OwnedGroups).WithTimeout(limit).Should(gomega.HaveLen(2))
	v.link.Set(true, false, 0)
	close(v.stop)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for {
				if a := c.ask(v, request{path: booking + "x"}); a.err != nil {
					c.g.Expect(c.runs(a.id)).To(gomega.BeEmpty(), "it was cut after it had been passed on")
					return
				}
			}
		})
	}
	c.g.Eventually(v.done).WithTimeout(shutdownGrace).Should(gomega.BeClosed())
	wait.Wait()
	c.g.Expect(c.logs.text()).To(gomega.MatchRegexp(`"event":"stopped","count":0,`))
}

// Guards against a VM that lost the store as an owner, follows another one since, and
// goes on to use targets that have left meanwhile.
func TestAFormerOwnerForgetsRemovedTargets(t *testing.T) {
	c := start(t, 7)
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	former := c.owner()
	former.link.Set(true, false, 0)
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.Or(gomega.BeNil(), gomega.BeIdenticalTo(former)))
	time.Sleep(1500 * time.Millisecond) // the former owner follows the next one
	former.link.Set(false, false, 0)
	former.link.Reset()
	time.Sleep(time.Second)
	nearest := c.apps[slices.Index(c.vms, former)%len(dataCentres)]
	c.store.Remove("servers", nearest.Settings.ID) // it goes on serving
	removed := time.Now()
	for time.Since(removed) < drainBound+time.Second {
		c.ask(former, request{path: booking + "x"})
		time.Sleep(10 * time.Millisecond)
	}
	for _, r := range nearest.Runs() {
		c.g.Expect(r.At.Sub(removed)).To(gomega.BeNumerically("<", drainBound))
	}
}
