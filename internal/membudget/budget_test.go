package membudget

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var (
	limits = Limits{Total: 10 << 20, Small: 1 << 20, Connections: 2 << 20, One: 4 << 20, Address: 6 << 20}
	here   = netip.MustParseAddr("127.0.0.1")
	there  = netip.MustParseAddr("127.0.0.2")
	ctx    = context.Background()
)

// open opens an account. What it is cut off for is sent to the channel.
func open(g *gomega.WithT, b *Budget, address netip.Addr) (*Account, chan Peer) {
	a, cut := &Account{}, make(chan Peer, 1)
	g.Expect(b.Open(a, address, func(p Peer) { cut <- p })).To(gomega.BeTrue())
	return a, cut
}

// Guards against a budget that changes the path of requests where no memory limit is set.
func TestWithoutABudgetNothingIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	var b *Budget
	a, _ := open(g, b, here)
	g.Expect(a.Reserve(ctx, 1<<40)).To(gomega.Equal(Granted))
	a.AwaitsCaller(time.Now())
	a.ReadsSlowly(time.Now())
	a.Release()
	a.Close()
}

// Guards against one connection, or the connections of one address, that take all the memory.
func TestOneConnectionAndOneAddressAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(limits)
	a, _ := open(g, b, here)
	g.Expect(a.Reserve(ctx, limits.One)).To(gomega.Equal(Granted))
	g.Expect(a.Reserve(ctx, 1)).To(gomega.Equal(OverOne))
	second, _ := open(g, b, here)
	g.Expect(second.Reserve(ctx, limits.Address-limits.One+1)).To(gomega.Equal(Short))
	g.Expect(second.Reserve(ctx, limits.Address-limits.One)).To(gomega.Equal(Granted))
	other, _ := open(g, b, there)
	g.Expect(other.Reserve(ctx, 2<<20)).To(gomega.Equal(Granted), "the rest is for other addresses")
	g.Expect(b.State().Refused).To(gomega.Equal(map[Refusal]int64{OverOne: 1, Short: 1}))
}

// Guards against large bodies, or many connections, that leave no memory for small requests.
func TestSmallRequestsHaveMemoryOfTheirOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(Limits{Total: 4 << 20, Small: 1 << 20, Connections: 1 << 20, One: 4 << 20, Address: 4 << 20})
	large, _ := open(g, b, here)
	g.Expect(large.Reserve(ctx, 3<<20-ConnectionBytes)).To(gomega.Equal(Granted))
	g.Expect(large.Reserve(ctx, 1)).To(gomega.Equal(Short))
	small, _ := open(g, b, here)
	g.Expect(small.Reserve(ctx, SmallBytes)).To(gomega.Equal(Granted))
	g.Expect(small.Reserve(ctx, 1)).To(gomega.Equal(Short), "it is small no more")
	for range 14 {
		open(g, b, here)
	}
	g.Expect(b.Open(&Account{}, here, func(Peer) {})).To(gomega.BeFalse())
}

// Guards against a request that is refused although the memory that it waits for is returned.
func TestReservationsWaitForMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(limits)
	first, _ := open(g, b, here)
	second, _ := open(g, b, there)
	third, _ := open(g, b, there)
	g.Expect(first.Reserve(ctx, 4<<20)).To(gomega.Equal(Granted))
	g.Expect(second.Reserve(ctx, 3<<20)).To(gomega.Equal(Granted))
	result := make(chan Refusal)
	go func() { result <- third.Reserve(ctx, 3<<20) }()
	g.Eventually(func() int64 { return b.State().Waiting }).Should(gomega.Equal(int64(1)))
	first.Release()
	g.Eventually(result).Should(gomega.Receive(gomega.Equal(Granted)))
	g.Expect(b.State().Waiting).To(gomega.BeZero())
}

// Guards against an attempt that has ended, or whose request has, and that keeps others waiting
// until its reservation is refused for lack of memory.
func TestAReservationEndsWithItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(limits)
	holder, _ := open(g, b, here)
	g.Expect(holder.Reserve(ctx, limits.One)).To(gomega.Equal(Granted))
	a, _ := open(g, b, here)
	attempt, end := context.WithCancel(ctx)
	result := make(chan Refusal)
	go func() { result <- a.Reserve(attempt, limits.One) }()
	g.Eventually(func() int64 { return b.State().Waiting }).Should(gomega.Equal(int64(1)))
	end()
	g.Eventually(result).Should(gomega.Receive(gomega.Equal(Released)))
	g.Expect(b.State().Waiting).To(gomega.BeZero())
}

// Guards against memory that is held after a request has ended, on a connection whose next request
// may come much later: an attempt that outlives its request takes some, or gets what it waits for.
func TestNothingIsTakenAfterTheEndOfARequest(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(limits)
	holder, _ := open(g, b, there)
	second, _ := open(g, b, there)
	g.Expect(holder.Reserve(ctx, limits.One)).To(gomega.Equal(Granted))
	g.Expect(second.Reserve(ctx, limits.Address-limits.One)).To(gomega.Equal(Granted))
	a, _ := open(g, b, here)
	request, end := context.WithCancel(ctx)
	g.Expect(a.Reserve(request, 1<<20)).To(gomega.Equal(Granted))
	w, _, _ := b.reserve(request, a, limits.One-1<<20, time.Now().Add(-maxWait))
	g.Expect(w).NotTo(gomega.BeNil())
	end()
	a.Release()
	holder.Release()
	second.Release()
	g.Expect(a.Reserve(request, 1)).To(gomega.Equal(Released))
	g.Expect(b.State().Used).To(gomega.Equal(int64(3 * ConnectionBytes)))
	g.Expect(a.Reserve(ctx, limits.One)).To(gomega.Equal(Granted), "the next request")
}

// Guards against memory that stays held because a reservation is granted just when its request ends.
func TestAReservationBesideTheEndOfItsRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(limits)
	a, _ := open(g, b, here)
	for range 2000 {
		request, end := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.Reserve(request, 1)
		}()
		end()
		a.Release()
		<-done
		g.Expect(b.State().Used).To(gomega.Equal(int64(ConnectionBytes)))
	}
}

// Guards against requests that block each other, each with a part of the memory that all need:
// the account that holds the most is served first, after small ones.
func TestTheLargestAccountIsServedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(Limits{Total: 4 << 20, Small: 0, Connections: 1 << 20, One: 4 << 20, Address: 4 << 20})
	held := map[string]int64{"holder": 2 << 20, "small": 0, "large": 1 << 20, "middle": SmallBytes}
	accounts := map[string]*Account{}
	for name, bytes := range held {
		accounts[name], _ = open(g, b, here)
		g.Expect(accounts[name].Reserve(ctx, bytes)).To(gomega.Equal(Granted))
	}
	b.mu.Lock()
	left := b.limits.Total - b.used
	b.mu.Unlock()
	filler, _ := open(g, b, here)
	g.Expect(filler.Reserve(ctx, left-ConnectionBytes)).To(gomega.Equal(Granted))
	granted := make(chan string, 3)
	for i, name := range []string{"middle", "large", "small"} {
		go func() {
			if accounts[name].Reserve(ctx, SmallBytes) == Granted {
				granted <- name
			}
		}()
		g.Eventually(func() int64 { return b.State().Waiting }).Should(gomega.Equal(int64(i + 1)))
	}
	for _, name := range []string{"small", "large", "middle"} {
		b.mu.Lock()
		b.used -= SmallBytes
		b.wake(time.Now())
		b.mu.Unlock()
		g.Eventually(granted).Should(gomega.Receive(gomega.Equal(name)))
	}
}

// Guards against a peer that is cut off although another one has held more for longer, that has
// only just begun, or that is not slow.
func TestTheLargestAndSlowestIsCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(limits)
	now := time.Now()
	hold := func(bytes int64, since time.Duration, slow int64) chan Peer {
		a, cut := open(g, b, there)
		b.mu.Lock()
		b.take(a, bytes, now.Add(-since))
		b.mu.Unlock()
		a.slow.Store(slow)
		return cut
	}
	slow := func(peer int64, since time.Duration) int64 { return mark(peer, now.Add(-since)) }
	busy := hold(3<<20, time.Minute, slowNot)
	fresh := hold(3<<20, CutAge/2, slow(slowSender, CutAge/2))
	sender := hold(1<<20, 4*time.Second, slow(slowSender, 4*time.Second))
	reader := hold(1<<20, time.Minute, slow(slowReader, 5*time.Second))
	small := hold(1<<10, time.Minute, slow(slowSender, time.Minute))
	target := hold(512<<10, time.Minute, slow(slowTarget, 4*time.Second))
	freshTarget := hold(512<<10, time.Minute, slow(slowTarget, targetCutAge/2))
	waiting, _ := open(g, b, here)
	w := &waiter{ctx: ctx, account: waiting, bytes: SmallBytes, ended: make(chan struct{})}
	at := now
	for _, c := range []struct {
		cut  chan Peer
		peer Peer
	}{{reader, Reader}, {sender, Sender}, {target, Target}, {small, Sender}} {
		at = at.Add(cutInterval)
		b.mu.Lock()
		cutOff := b.chooseCut(w, at)
		b.mu.Unlock()
		g.Expect(cutOff).NotTo(gomega.BeNil())
		cutOff()
		g.Expect(c.cut).To(gomega.Receive(gomega.Equal(c.peer)))
	}
	g.Expect(b.chooseCut(w, at.Add(cutInterval))).To(gomega.BeNil())
	g.Expect(busy).To(gomega.BeEmpty())
	g.Expect(fresh).To(gomega.BeEmpty())
	g.Expect(freshTarget).To(gomega.BeEmpty())
	g.Expect(b.State().Cut).To(gomega.Equal(map[Peer]int64{Reader: 1, Sender: 2, Target: 1}))
}

// Guards against a large request that cuts off callers which hold less than it does itself.
func TestALargeRequestCutsOffNoSmallerOne(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(limits)
	now := time.Now()
	a, _ := open(g, b, there)
	b.take(a, 1<<20, now.Add(-time.Minute))
	a.slow.Store(mark(slowSender, now.Add(-time.Minute)))
	waiting, _ := open(g, b, here)
	b.take(waiting, 1<<20, now)
	g.Expect(b.chooseCut(&waiter{ctx: ctx, account: waiting, bytes: 1 << 20}, now)).To(gomega.BeNil())
	busy, _ := open(g, b, there)
	b.take(busy, 3<<20, now.Add(-time.Minute))
	busy.TargetReadsSlowly(now.Add(-time.Minute), false)
	g.Expect(b.chooseCut(&waiter{ctx: ctx, account: waiting, bytes: 1 << 20}, now.Add(cutInterval))).To(gomega.BeNil(), "the request is at a target")
	busy.Close()
	g.Expect(b.chooseCut(&waiter{ctx: ctx, account: waiting, bytes: 0}, now.Add(2*cutInterval))).NotTo(gomega.BeNil())
}

// Guards against memory that stays counted, or a reservation that never ends, after the
// connection has ended.
func TestAClosedConnectionHoldsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(limits)
	a, _ := open(g, b, here)
	g.Expect(a.Reserve(ctx, 4<<20)).To(gomega.Equal(Granted))
	other, _ := open(g, b, here)
	result := make(chan Refusal)
	go func() { result <- other.Reserve(ctx, 4<<20) }()
	g.Eventually(func() int64 { return b.State().Waiting }).Should(gomega.Equal(int64(1)))
	other.Close()
	other.Close()
	g.Eventually(result).Should(gomega.Receive(gomega.Equal(Released)))
	g.Expect(other.Reserve(ctx, 1)).To(gomega.Equal(Released))
	a.Close()
	s := b.State()
	g.Expect(s.Used).To(gomega.BeZero())
	g.Expect(s.Connections).To(gomega.BeZero())
	g.Expect(b.addresses).To(gomega.BeEmpty())
	g.Expect(b.holding).To(gomega.BeEmpty())
}

// Guards against a slow target, or a caller that stops sending, that is not cut off because another
// attempt at the request, or one at the request before, has ended.
func TestTheEndOfAnotherAttemptHidesNoSlowPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(limits)
	a, _ := open(g, b, here)
	began := time.Now().Truncate(time.Microsecond)
	peer := func() Peer {
		p, _ := a.slowness(began.Add(time.Minute))
		return p
	}
	a.TargetReadsSlowly(began, false)
	a.TargetReadsSlowly(began.Add(time.Second), false)
	a.TargetReadsSlowly(began.Add(time.Second), true)
	g.Expect(peer()).To(gomega.Equal(Target))
	_, age := a.slowness(began.Add(time.Minute))
	g.Expect(age).To(gomega.Equal(time.Minute))
	a.AwaitsCaller(began)
	a.TargetReadsSlowly(began, true)
	g.Expect(peer()).To(gomega.Equal(Sender))
	a.TargetReadsSlowly(began.Add(2*time.Second), false)
	g.Expect(peer()).To(gomega.Equal(Sender))
	a.HasInput(began, began, 0)
	a.TargetReadsSlowly(began, false)
	a.TargetReadsSlowly(began, true)
	g.Expect(peer()).To(gomega.BeEmpty())
}

// Guards against a peer that is cut off after a second although it keeps up with what it sends or
// reads, or that is not cut off after it has stopped or while it trickles.
func TestOnlyPeersThatLagAreSlow(t *testing.T) {
	const step = time.Second / 8
	at := func(bytes int, steps int, lagging Peer) (longest, stopped time.Duration) {
		a := &Account{budget: New(limits)}
		now := time.Now()
		a.since = now
		since := now
		switch lagging {
		case Target:
			a.TargetReadsSlowly(since, false)
		case Reader:
			a.ReadsSlowly(since)
		}
		age := func() time.Duration {
			peer, age := a.slowness(now)
			gomega.NewWithT(t).Expect(peer).To(gomega.Equal(lagging))
			longest = max(longest, age)
			return age
		}
		for range steps {
			if lagging == Sender {
				a.AwaitsCaller(now)
			}
			began := now
			now = now.Add(step)
			age()
			switch lagging {
			case Sender:
				a.HasInput(began, now, bytes)
			case Reader:
				since = a.HasRead(since, now, bytes)
			case Target:
				since = a.TargetHasRead(since, now, bytes)
			}
		}
		all := longest
		if lagging == Sender {
			a.AwaitsCaller(now)
		}
		now = now.Add(CutAge)
		return all, age()
	}
	for _, peer := range []Peer{Sender, Reader, Target} {
		g := gomega.NewWithT(t)
		longest, stopped := at(usualPace/8, 100, peer)
		g.Expect(longest).To(gomega.BeNumerically("~", step, time.Microsecond), "the %s keeps up", peer)
		g.Expect(stopped).To(gomega.BeNumerically("~", CutAge, time.Microsecond), "the %s has stopped", peer)
		longest, stopped = at(usualPace/80, 100, peer)
		g.Expect(longest).To(gomega.BeNumerically(">", 8*time.Second), "the %s trickles", peer)
		g.Expect(stopped).To(gomega.BeNumerically(">", 9*time.Second))
		longest, _ = at(10*usualPace, 100, peer)
		g.Expect(longest).To(gomega.BeNumerically("~", step, time.Microsecond), "the %s is fast", peer)
	}
}

// Guards against a connection that holds more than one may because two of its reservations waited.
func TestReservationsThatWaitTogetherKeepTheBoundOfOneConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(Limits{Total: 1000 << 10, Connections: 1000 << 10, One: 600 << 10, Address: 900 << 10})
	a, _ := open(g, b, here)
	other, _ := open(g, b, there)
	g.Expect(other.Reserve(ctx, 600<<10)).To(gomega.Equal(Granted))
	now := time.Now()
	for range 2 {
		w, _, _ := b.reserve(ctx, a, 400<<10, now)
		g.Expect(w).NotTo(gomega.BeNil())
	}
	other.Close()
	g.Expect(a.held).To(gomega.Equal(int64(400 << 10)))
	a.Release()
	g.Expect(a.held).To(gomega.Equal(int64(400<<10)), "the other one of the two")
}

// Guards against a budget that is exceeded, or whose sums drift, under any sequence of
// reservations and ends.
func TestBoundsHoldUnderAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		b := New(limits)
		now := time.Now()
		var accounts []*Account
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(accounts) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				a := &Account{}
				if b.Open(a, rapid.SampledFrom([]netip.Addr{here, there}).Draw(t, "address"), func(Peer) {}) {
					accounts = append(accounts, a)
				}
				continue
			}
			a := rapid.SampledFrom(accounts).Draw(t, "account")
			switch rapid.SampledFrom([]string{"reserve", "release", "close", "send", "read"}).Draw(t, "act") {
			case "reserve":
				b.reserve(ctx, a, rapid.Int64Range(1, 5<<20).Draw(t, "bytes"), now)
			case "release":
				a.Release()
			case "close":
				a.Close()
			case "send":
				a.AwaitsCaller(now)
			case "read":
				a.ReadsSlowly(now)
			}
			var used, large int64
			addresses := map[netip.Addr]int64{}
			for _, a := range accounts {
				if a.open {
					used += ConnectionBytes
				}
				used += a.held
				addresses[a.address] += a.held
				if a.held > SmallBytes {
					large += a.held
				}
				g.Expect(a.held).To(gomega.BeNumerically("<=", limits.One))
			}
			g.Expect(b.used).To(gomega.Equal(used))
			g.Expect(used).To(gomega.BeNumerically("<=", limits.Total))
			g.Expect(large).To(gomega.BeNumerically("<=", limits.Total-limits.Small))
			for address, held := range addresses {
				g.Expect(b.addresses[address]).To(gomega.Equal(held))
			}
		}
	})
}

// Guards against default limits that refuse one request within the usual limits of callers, or
// that exceed the memory or the descriptors of a VM of the deployments.
func TestLimitsOfTheDeployments(t *testing.T) {
	g := gomega.NewWithT(t)
	const largestBody, largestAnswer = 4 << 20, 8 << 20
	for _, bytes := range []int64{144e6, 184e6, 284e6, 536e6} {
		l := ForMemory(bytes)
		g.Expect(l.One).To(gomega.BeNumerically(">=", largestBody+largestAnswer))
		g.Expect(l.Address).To(gomega.BeNumerically(">=", l.One))
		g.Expect(l.Total).To(gomega.BeNumerically("<", bytes/3))
		g.Expect(l.Connections / ConnectionBytes).To(gomega.BeNumerically(">=", 300))
	}
	for _, c := range []struct {
		memory      int64
		descriptors int
	}{{144e6, 3075}, {144e6, 600}, {184e6, 4100}, {284e6, 4100}, {536e6, 10250}, {536e6, 0}, {0, 3075}} {
		requests, kept := TargetConnections(c.memory, c.descriptors)
		if c.descriptors > 0 {
			g.Expect(requests + kept).To(gomega.BeNumerically("<=", Connections(c.descriptors)))
		}
		if c.memory > 0 {
			g.Expect((requests + kept) * TargetConnectionBytes).To(gomega.BeNumerically("<=", c.memory/16))
		}
		if c.descriptors != 600 {
			g.Expect(requests).To(gomega.BeNumerically(">=", 2*6720/71), "twice what all engines of the larger deployment take, by VM")
		}
		g.Expect(kept).To(gomega.BeNumerically(">=", 32))
	}
	requests, kept := TargetConnections(0, 0)
	g.Expect(requests + kept).To(gomega.BeZero())
	for _, descriptors := range []int{3075, 4100, 8192, 10250} {
		g.Expect(2*Connections(descriptors) + fileDescriptors).To(gomega.BeNumerically("<", descriptors))
		g.Expect(Connections(descriptors)).To(gomega.BeNumerically(">=", 1000))
	}
}

// Guards against a reservation that waits although it was not to, and against memory that stays with a
// slow peer because only such reservations need it.
func TestReserveNowDoesNotWait(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(Limits{Total: 1 << 20, Connections: 1 << 20, One: 800 << 10, Address: 1 << 20})
	slow, cut := open(g, b, there)
	now := time.Now()
	b.take(slow, 700<<10, now.Add(-time.Minute))
	slow.AwaitsCaller(now.Add(-time.Minute))
	a, _ := open(g, b, here)
	g.Expect(a.ReserveNow(750 << 10)).To(gomega.Equal(Short))
	g.Expect(cut).To(gomega.BeEmpty(), "a large request cuts off no smaller one")
	b.searchedAt = time.Time{}
	g.Expect(a.ReserveNow(300 << 10)).To(gomega.Equal(Short))
	g.Expect(cut).To(gomega.Receive(gomega.Equal(Sender)))
	g.Expect(b.State().Waiting).To(gomega.BeZero())
	g.Expect(b.State().Refused).To(gomega.HaveKeyWithValue(Short, int64(2)))
	slow.Close()
	g.Expect(a.ReserveNow(300 << 10)).To(gomega.Equal(Granted))
	g.Expect(a.ReserveNow(600 << 10)).To(gomega.Equal(OverOne))
}
