package membudget

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Refusal is the reason why memory is not reserved.
type Refusal string

// The reasons. Short is the only one that ends by itself.
const (
	Granted  Refusal = ""
	Short    Refusal = "short"    // the memory is held for others
	OverOne  Refusal = "one"      // the connection would hold more than one may
	Released Refusal = "released" // the connection has ended or was cut off, or the work that needs the memory has ended
)

const (
	// maxWait is how long a reservation waits for memory. Callers wait a third of their time for
	// an answer that tells them to try again, and most have at least 5 s.
	maxWait = 1500 * time.Millisecond
	// CutAge is the time for which a peer may be slow before it may be cut off.
	CutAge = time.Second
	// targetCutAge is the same for a target.
	targetCutAge = 2 * time.Second
	// cutInterval is the least time between two searches for an account to cut off, because each
	// looks at all accounts.
	cutInterval = 20 * time.Millisecond
	// recheckInterval is the time after which a waiting reservation looks for an account to cut
	// off again: more of them have been slow for CutAge.
	recheckInterval = 50 * time.Millisecond
)

// Budget is the memory that is held for callers and targets. It is safe for concurrent use.
// A nil Budget has no limits.
type Budget struct {
	limits Limits

	mu          sync.Mutex
	used        int64 // held by accounts, and the cost of connections
	connections int64 // open accounts
	addresses   map[netip.Addr]int64
	holding     map[*Account]struct{} // accounts that hold memory
	waiters     []*waiter
	searchedAt  time.Time // when an account to cut off was last sought
	refused     map[Refusal]int64
	cut         map[Peer]int64
	waited      int64
}

// Peer says for whom memory is held while the peer is slow.
type Peer string

// The peers.
const (
	Sender Peer = "sender" // a caller that sends a body
	Reader Peer = "reader" // a caller that reads an answer
	Target Peer = "target" // a target that reads a body
)

// waiter is a reservation that waits.
type waiter struct {
	ctx     context.Context // the reservation is not granted after its end
	account *Account
	bytes   int64
	result  Refusal       // valid once ended is closed
	ended   chan struct{} // closed when the reservation is granted or refused
}

func (w *waiter) end(result Refusal) {
	w.result = result
	close(w.ended)
}

// New returns a budget.
func New(limits Limits) *Budget {
	return &Budget{
		limits: limits, addresses: map[netip.Addr]int64{}, holding: map[*Account]struct{}{},
		refused: map[Refusal]int64{}, cut: map[Peer]int64{},
	}
}

// Account is what is held for one connection of a caller. An Account without a budget has no
// limits.
type Account struct {
	budget  *Budget
	address netip.Addr
	cutOff  func(Peer)
	// slow is slowNot, or who is waited for and since when it lags, as given by mark.
	slow atomic.Int64
	// sendLag is the time by which the caller lags with what it sends. Only the goroutine that reads
	// from the caller uses it.
	sendLag time.Duration
	// holds is set if the account may hold memory, so that Release needs no lock otherwise. It is set
	// before a reservation looks whether its context has ended: Release, which follows the end of a
	// request, then misses no memory that is taken beside it.
	holds atomic.Bool

	// Guarded by the budget's lock.
	held  int64
	since time.Time // when the account began to hold memory
	open  bool
	ended bool // closed or cut off
}

// The values of Account.slow: slowNot, or a time with one of the others in its lowest bits.
const (
	slowNot int64 = iota
	slowSender
	slowReader
	slowTarget
	slowBits
)

// mark returns the state of a peer that lags since a time.
func mark(peer int64, since time.Time) int64 { return since.UnixNano()&^(slowBits-1) | peer }

// usualPace is the number of bytes in a second with which a peer keeps up. A body of 4 MiB takes 8 s
// then, which callers with large bodies allow.
const usualPace = 512 << 10

// catchUp returns the time since which a peer lags that has lagged since a time and then has sent or
// taken some bytes.
func catchUp(since, now time.Time, bytes int) time.Time {
	since = since.Add(time.Duration(bytes) * time.Second / usualPace)
	if since.After(now) {
		return now
	}
	return since
}

// Open adds a connection to the budget. cutOff is called when it must end; it may not block. Open
// returns false if there is no memory for another connection.
func (b *Budget) Open(a *Account, address netip.Addr, cutOff func(Peer)) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if (b.connections+1)*ConnectionBytes > b.limits.Connections {
		return false
	}
	b.connections++
	b.used += ConnectionBytes
	a.budget, a.address, a.cutOff, a.open = b, address, cutOff, true
	return true
}

// Close ends the account of a connection.
func (a *Account) Close() {
	if a.budget == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.open {
		return
	}
	b.release(a)
	a.open, a.ended = false, true
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if w.account == a {
			w.end(Released)
		}
		return w.account == a
	})
	b.connections--
	b.used -= ConnectionBytes
	b.wake(time.Now())
}

// Release returns all that the account holds, at the end of a request. It is called by the goroutine
// that reads from the caller.
func (a *Account) Release() {
	a.sendLag = 0
	if a.budget == nil || !a.holds.Load() {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.holds.Store(false)
	if a.held > 0 {
		b.release(a)
		a.ended = !a.open // another request may follow one whose target was too slow
		b.wake(time.Now())
	}
}

// release returns what an account holds. The caller holds the lock.
func (b *Budget) release(a *Account) {
	b.used -= a.held
	if left := b.addresses[a.address] - a.held; left > 0 {
		b.addresses[a.address] = left
	} else {
		delete(b.addresses, a.address)
	}
	a.held, a.since = 0, time.Time{}
	delete(b.holding, a)
}

// AwaitsCaller marks that the connection waits for its caller to send. Only one goroutine may call it
// and HasInput, in turn.
func (a *Account) AwaitsCaller(now time.Time) {
	if a.budget != nil {
		a.slow.Store(mark(slowSender, now.Add(-a.sendLag)))
	}
}

// HasInput marks that the wait since a time has ended, with a number of bytes from the caller.
func (a *Account) HasInput(since, now time.Time, bytes int) {
	if a.budget == nil {
		return
	}
	a.slow.Store(slowNot)
	a.sendLag = now.Sub(catchUp(since.Add(-a.sendLag), now, bytes))
}

// ReadsSlowly marks that the connection waits for its caller to read since a time, or that it
// does not if that is zero.
func (a *Account) ReadsSlowly(since time.Time) {
	switch {
	case a.budget == nil:
	case since.IsZero():
		a.slow.Store(slowNot)
	default:
		a.slow.Store(mark(slowReader, since))
	}
}

// HasRead marks that a caller that reads slowly since a time has taken some bytes. It returns the time
// since which it lags then.
func (a *Account) HasRead(since, now time.Time, bytes int) time.Time {
	since = catchUp(since, now, bytes)
	a.ReadsSlowly(since)
	return since
}

// TargetReadsSlowly marks that a target reads the body since a time, or with ended that it does so no
// longer. Of several targets, the first one counts. An attempt that outlives its request does not
// change the mark of the next one.
func (a *Account) TargetReadsSlowly(since time.Time, ended bool) {
	switch m := mark(slowTarget, since); {
	case a.budget == nil:
	case ended:
		a.slow.CompareAndSwap(m, slowNot)
	default:
		a.slow.CompareAndSwap(slowNot, m)
	}
}

// TargetHasRead marks that a target that reads slowly since a time has taken some bytes. It returns the
// time since which it lags then, by which its later marks are known.
func (a *Account) TargetHasRead(since, now time.Time, bytes int) time.Time {
	next := catchUp(since, now, bytes)
	a.slow.CompareAndSwap(mark(slowTarget, since), mark(slowTarget, next))
	return next
}

// Reserve takes memory for an account. It waits while memory is short, at most until ctx ends. After
// that it takes none, so that an attempt which outlives its request holds nothing.
func (a *Account) Reserve(ctx context.Context, bytes int64) Refusal {
	if a.budget == nil {
		return Granted
	}
	b := a.budget
	b.mu.Lock()
	w, refusal, cut := b.reserve(ctx, a, bytes, time.Now())
	b.mu.Unlock()
	if w == nil {
		return refusal
	}
	end := time.NewTimer(maxWait)
	defer end.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		if cut != nil {
			cut()
			cut = nil
		}
		select {
		case <-w.ended:
			return w.result
		case <-recheck.C:
			b.mu.Lock()
			cut = b.chooseCut(w, time.Now())
			b.mu.Unlock()
		case <-end.C:
			return b.giveUp(w, Short)
		case <-ctx.Done():
			return b.giveUp(w, Released)
		}
	}
}

// ReserveNow is like Reserve, but refuses at once while memory is short. It may cut off an account, so
// that a later reservation finds memory.
func (a *Account) ReserveNow(bytes int64) Refusal {
	if a.budget == nil {
		return Granted
	}
	b := a.budget
	now := time.Now()
	b.mu.Lock()
	refusal := b.tryTake(context.Background(), a, bytes, now)
	var cut func()
	if refusal == Short {
		b.refused[Short]++
		cut = b.chooseCut(&waiter{account: a, bytes: bytes}, now)
	}
	b.mu.Unlock()
	if cut != nil {
		cut()
	}
	return refusal
}

// reserve takes memory, or returns a reservation that waits for it and what cuts off an account
// to get it. The caller holds the lock.
func (b *Budget) reserve(ctx context.Context, a *Account, bytes int64, now time.Time) (w *waiter, refusal Refusal, cut func()) {
	if refusal := b.tryTake(ctx, a, bytes, now); refusal != Short {
		return nil, refusal, nil
	}
	w = &waiter{ctx: ctx, account: a, bytes: bytes, ended: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.waited++
	return w, Short, b.chooseCut(w, now)
}

// tryTake takes memory if there is enough, and returns Short if there is not. The caller holds the lock.
func (b *Budget) tryTake(ctx context.Context, a *Account, bytes int64, now time.Time) Refusal {
	a.holds.Store(true)
	switch {
	case a.ended, ctx.Err() != nil:
		return Released
	case a.held+bytes > b.limits.One:
		b.refused[OverOne]++
		return OverOne
	case b.fits(a, bytes):
		b.take(a, bytes, now)
		return Granted
	}
	return Short
}

// fits reports whether memory can be taken. Only accounts that stay small may take what is kept
// for small requests. Two attempts at a request may wait on one account. The caller holds the lock.
func (b *Budget) fits(a *Account, bytes int64) bool {
	if a.held+bytes > b.limits.One {
		return false
	}
	if a.held+bytes <= SmallBytes {
		return b.used+bytes <= b.limits.Total
	}
	return b.used+bytes <= b.limits.Total-b.limits.Small && b.addresses[a.address]+bytes <= b.limits.Address
}

func (b *Budget) take(a *Account, bytes int64, now time.Time) {
	if a.held == 0 {
		a.since = now
		b.holding[a] = struct{}{}
	}
	a.held += bytes
	b.used += bytes
	b.addresses[a.address] += bytes
}

// wake grants waiting reservations that are still needed: small ones first, and then those of the
// accounts that hold the most, because their requests are the next to end. The caller holds the lock.
func (b *Budget) wake(now time.Time) {
	for {
		next := -1
		for i, w := range b.waiters {
			if w.needed() && b.fits(w.account, w.bytes) && (next < 0 || before(w, b.waiters[next])) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		w := b.waiters[next]
		b.remove(w)
		b.take(w.account, w.bytes, now)
		w.end(Granted)
	}
}

// before reports whether a waiting reservation is granted before another one.
func before(w, other *waiter) bool {
	small, otherSmall := w.small(), other.small()
	if small != otherSmall {
		return small
	}
	return w.account.held > other.account.held
}

// needed reports whether the work that needs the memory goes on.
func (w *waiter) needed() bool {
	w.account.holds.Store(true)
	return w.ctx.Err() == nil
}

func (w *waiter) small() bool { return w.account.held+w.bytes <= SmallBytes }

func (b *Budget) remove(w *waiter) {
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
	}
}

// giveUp refuses a reservation that has waited too long or is no longer needed, unless it has ended
// before.
func (b *Budget) giveUp(w *waiter, refusal Refusal) Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.ended:
		return w.result
	default:
	}
	b.remove(w)
	b.refused[refusal]++
	return refusal
}

// chooseCut chooses the account that has held the most for the longest time while its peer was
// slow, and returns what cuts it off, nil if there is none. A reservation that is not small cuts
// off no account that holds less than its own. The caller holds the lock.
func (b *Budget) chooseCut(w *waiter, now time.Time) func() {
	if now.Sub(b.searchedAt) < cutInterval {
		return nil
	}
	b.searchedAt = now
	var chosen *Account
	var peer Peer
	worst := 0.0
	for a := range b.holding {
		p, age := a.slowness(now)
		if a.ended || a == w.account || !w.mayCut(p, a.held, age) {
			continue
		}
		if weight := float64(a.held) * age.Seconds(); weight > worst {
			chosen, peer, worst = a, p, weight
		}
	}
	if chosen == nil {
		return nil
	}
	chosen.ended = true
	b.cut[peer]++
	cutOff := chosen.cutOff
	return func() { cutOff(peer) }
}

// mayCut reports whether the reservation may cut off an account that holds memory for a slow peer.
// The end of one whose request is at a target leaves its caller without knowing whether it has run,
// so only small requests do that, and later.
func (w *waiter) mayCut(p Peer, held int64, age time.Duration) bool {
	switch {
	case p == "":
		return false
	case p == Target:
		return w.small() && age >= targetCutAge
	}
	return age >= CutAge && (w.small() || held >= w.account.held+w.bytes)
}

var slowPeers = [slowBits]Peer{slowSender: Sender, slowReader: Reader, slowTarget: Target}

// slowness returns for whom the account holds memory, and for how long the peer has been slow while it
// did. The caller holds the budget's lock.
func (a *Account) slowness(now time.Time) (Peer, time.Duration) {
	peer, lag := a.Lag(now)
	if peer == "" {
		return "", 0
	}
	return peer, min(lag, now.Sub(a.since))
}

// Lag returns for whom the connection waits, and since when this peer lags. Without a budget, no peer lags.
func (a *Account) Lag(now time.Time) (Peer, time.Duration) {
	slow := a.slow.Load()
	if slow == slowNot {
		return "", 0
	}
	return slowPeers[slow&(slowBits-1)], now.Sub(time.Unix(0, slow&^(slowBits-1)))
}

// CutOff cuts off the connection of a slow peer whose place others need, unless that was done before.
func (a *Account) CutOff(peer Peer) {
	b := a.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	ended := a.ended
	if !ended {
		a.ended = true
		b.cut[peer]++
	}
	b.mu.Unlock()
	if !ended {
		a.cutOff(peer)
	}
}

// MaxConnections returns how many connections may be open, 0 if there is no limit.
func (b *Budget) MaxConnections() int64 {
	if b == nil {
		return 0
	}
	return b.limits.Connections / ConnectionBytes
}

// State is what a Budget holds and has decided since the start.
type State struct {
	Limits      Limits
	Used        int64 // bytes, with the cost of connections
	Connections int64
	Waiting     int64             // reservations
	Waited      int64             // reservations that had to wait
	Refused     map[Refusal]int64 // reservations
	Cut         map[Peer]int64    // connections
}

// State returns the state of the budget, the zero State of a nil Budget.
func (b *Budget) State() State {
	if b == nil {
		return State{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{
		Limits: b.limits, Used: b.used, Connections: b.connections, Waiting: int64(len(b.waiters)), Waited: b.waited,
		Refused: maps.Clone(b.refused), Cut: maps.Clone(b.cut),
	}
}
