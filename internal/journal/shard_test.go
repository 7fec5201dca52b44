package journal

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// script is a fault source that a test sets by hand.
type script struct {
	next writeFault // of all writes
	down bool
	late []func()
}

func (s *script) pause()                 {}
func (s *script) delay(write func())     { s.late = append(s.late, write) }
func (s *script) writeFault() writeFault { return s.next }

func (s *script) readRevision(low int64) int64 {
	if s.down {
		return -1
	}
	return max(low, 1<<40)
}

type goneSet map[model.Holder]bool

func (g goneSet) Gone(holder model.Holder) bool { return g[holder] }

// bench is one shard with its store, clock and faults.
type bench struct {
	g      *gomega.WithT
	store  *fakeStore
	faults *script
	gone   goneSet
	now    time.Time
	shard  *Shard
}

func newBench(tb testing.TB, change func(*Settings)) *bench {
	b := &bench{
		g: gomega.NewWithT(tb), store: newFakeStore(), faults: &script{}, gone: goneSet{},
		now: time.UnixMilli(1_700_000_000_000),
	}
	b.shard = b.newShard("vm1", change)
	b.shard.SetWanted(true)
	b.steps(1)
	b.g.Expect(b.shard.Owned()).To(gomega.BeTrue())
	return b
}

func (b *bench) newShard(vm string, change func(*Settings)) *Shard {
	settings := DefaultSettings(model.Holder{VM: vm, Incarnation: 1})
	if change != nil {
		change(&settings)
	}
	return NewShard(0, settings, Dependencies{
		Store: &faultyStore{store: b.store, faults: b.faults}, Liveness: b.gone,
		Now: func() time.Time { return b.now }, Rand: rand.New(rand.NewPCG(1, 1)),
		Recorder: timeline.Discard{}, Log: zerolog.New(io.Discard), Counters: &Counters{},
	})
}

// steps advances the clock past any wait before each step.
func (b *bench) steps(n int) {
	for range n {
		b.now = b.now.Add(b.shard.settings.BackoffMax)
		b.shard.Step(context.Background())
	}
}

func claimOf(key string, number uint64) rpcapi.ClaimRequest {
	return rpcapi.ClaimRequest{
		Key: rpcapi.ClaimKey{Organisation: "o", Kind: "k", Key: key},
		ID:  rpcapi.ClaimID{Holder: model.Holder{VM: "front", Incarnation: 1}, Number: number},
	}
}

func (b *bench) claim(key string, number uint64) rpcapi.ClaimReply {
	call := b.shard.Claim(claimOf(key, number))
	b.steps(1)
	b.g.Expect(call.Done()).To(gomega.BeClosed())
	return call.Reply()
}

func (b *bench) outcome(key string, number uint64, body []byte) *errs.Error {
	request := claimOf(key, number)
	call := b.shard.Outcome(rpcapi.OutcomeRequest{
		Key: request.Key, ID: request.ID, Response: rpcapi.StoredResponse{Status: 200, Body: body},
	})
	b.steps(1)
	return call.Reply().Err
}

// Guards against a repeated call that gets anything but the first response, and
// against a key that is granted again before its retention ends.
func TestRepeatGetsFirstResponseUntilRetentionEnds(t *testing.T) {
	b := newBench(t, nil)
	b.g.Expect(b.claim("a", 1).State).To(gomega.Equal(rpcapi.ClaimGranted))
	b.g.Expect(b.claim("a", 1).State).To(gomega.Equal(rpcapi.ClaimGranted))
	b.g.Expect(b.claim("a", 2).State).To(gomega.Equal(rpcapi.ClaimRunning))
	b.g.Expect(b.outcome("a", 2, nil).Code).To(gomega.Equal(errs.Conflict))
	b.g.Expect(b.outcome("a", 1, []byte("first"))).To(gomega.BeNil())
	b.g.Expect(b.outcome("a", 1, []byte("second"))).To(gomega.BeNil())
	b.g.Expect(string(b.claim("a", 2).Response.Body)).To(gomega.Equal("first"))
	b.now = b.now.Add(23 * time.Hour)
	b.claim("clock", 3)
	b.g.Expect(b.claim("a", 4).State).To(gomega.Equal(rpcapi.ClaimFinished))
	b.now = b.now.Add(time.Hour)
	b.claim("clock2", 5)
	b.g.Expect(b.claim("a", 6).State).To(gomega.Equal(rpcapi.ClaimGranted))
}

// Guards against a claim that expires while its holder may still send the call,
// and against one of a holder that is gone which never expires.
func TestClaimWithoutOutcomeExpiresOnlyWhenHolderIsGone(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.CompactPositions = 1 })
	b.claim("a", 1)
	b.now = b.now.Add(48 * time.Hour)
	b.claim("clock", 2)
	b.g.Expect(b.claim("a", 3).State).To(gomega.Equal(rpcapi.ClaimRunning))
	b.gone[claimOf("a", 1).ID.Holder] = true
	b.g.Expect(b.claim("a", 4).State).To(gomega.Equal(rpcapi.ClaimUnknown))
	for i := range uint64(10) {
		b.claim(fmt.Sprint("more", i), 10+i)
		b.steps(5)
	}
	b.now = b.now.Add(25 * time.Hour)
	b.claim("clock2", 100)
	b.g.Expect(b.claim("a", 101).State).To(gomega.Equal(rpcapi.ClaimGranted))
}

// Guards against a delayed duplicate of a released claim that occupies the key.
func TestReleasedClaimIDIsNotGrantedAgain(t *testing.T) {
	b := newBench(t, nil)
	request := claimOf("a", 1)
	release := b.shard.Release(rpcapi.ReleaseClaimRequest{Key: request.Key, ID: request.ID})
	b.steps(1)
	b.g.Expect(release.Reply().Err).To(gomega.BeNil())
	b.g.Expect(b.claim("a", 1).Err.Code).To(gomega.Equal(errs.Conflict))
	b.g.Expect(b.claim("a", 2).State).To(gomega.Equal(rpcapi.ClaimGranted))
}

// Guards against dropping young claims, or granting without a bound, when the
// index is full, and against keeping a response over the limit.
func TestFullIndexRefusesNewClaims(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.IndexLimit, s.ResponseLimit = 10*entryBytes, 8 })
	for i := range uint64(10) {
		b.claim(fmt.Sprint(i), i)
	}
	b.g.Expect(b.outcome("0", 0, make([]byte, 9))).To(gomega.BeNil())
	for i := range uint64(10) {
		b.claim(fmt.Sprint("x", i), 100+i)
	}
	refused := b.claim("late", 1000).Err
	b.g.Expect(refused.Code).To(gomega.Equal(errs.Overloaded))
	b.g.Expect(refused.Ran).To(gomega.Equal(errs.RanNo))
	again := b.claim("0", 2000)
	b.g.Expect(again.State).To(gomega.Equal(rpcapi.ClaimFinished))
	b.g.Expect(again.Response.Truncated).To(gomega.BeTrue())
}

// Guards against an outcome that is refused for its size, which would leave the
// call without an outcome.
func TestOversizedOutcomeIsStoredWithoutBody(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.ResponseLimit = 1 << 40 })
	b.claim("a", 1)
	b.g.Expect(b.outcome("a", 1, make([]byte, maxResponseBytes+1))).To(gomega.BeNil())
	b.g.Expect(b.claim("a", 2).Response).To(gomega.Equal(rpcapi.StoredResponse{Status: 200, Truncated: true}))
}

// Guards against calls that hang or are retried without a pause in an outage,
// and against more than one store call per wait.
func TestOutageRefusesClaimsWithRetryTime(t *testing.T) {
	b := newBench(t, nil)
	b.faults.next, b.faults.down = writeUnavailable, true
	first := b.claim("a", 1).Err
	b.g.Expect(first.Code).To(gomega.Equal(errs.StoreUnavailable))
	b.g.Expect(first.Retry).To(gomega.BeNumerically(">", 0))
	before := b.store.calls
	for i := range uint64(100) {
		refused := b.shard.Claim(claimOf(fmt.Sprint(i), i)).Reply().Err
		b.g.Expect(refused.Code).To(gomega.Equal(errs.StoreUnavailable))
		b.g.Expect(refused.Ran).To(gomega.Equal(errs.RanNo))
		b.shard.Step(context.Background())
	}
	b.g.Expect(b.store.calls - before).To(gomega.BeNumerically("<=", 1))
	b.faults.next, b.faults.down = writeApplied, false
	b.steps(1)
	b.g.Expect(b.claim("a", 2).State).To(gomega.Equal(rpcapi.ClaimGranted))
}

// Guards against a lost response that loses or doubles a batch.
func TestLostResponseIsResolvedByIdentity(t *testing.T) {
	b := newBench(t, nil)
	b.faults.next = writeUnanswered
	call := b.shard.Claim(claimOf("a", 1))
	b.steps(1)
	b.g.Expect(call.Done()).NotTo(gomega.BeClosed())
	b.faults.next = writeApplied
	b.steps(1)
	b.g.Expect(call.Reply().State).To(gomega.Equal(rpcapi.ClaimGranted))
	b.g.Expect(b.shard.index.Position()).To(gomega.Equal(uint64(2)))
}

// Guards against an absent key reported by a VM that no longer owns the shard.
func TestFormerOwnerDoesNotReportAbsent(t *testing.T) {
	b := newBench(t, nil)
	former := b.shard
	b.shard = b.newShard("vm2", nil)
	b.shard.SetWanted(true)
	b.steps(1)
	b.g.Expect(b.claim("a", 1).State).To(gomega.Equal(rpcapi.ClaimGranted))
	lookup := former.Lookup(rpcapi.LookupRequest{Key: claimOf("a", 1).Key})
	b.shard = former
	b.steps(1)
	b.g.Expect(lookup.Reply().Err.Code).To(gomega.Equal(errs.NotOwner))
}

// Guards against a handover that cuts waiting calls or goes on taking new ones.
func TestDrainCommitsWaitingCalls(t *testing.T) {
	b := newBench(t, nil)
	call := b.shard.Claim(claimOf("a", 1))
	b.shard.SetWanted(false)
	b.g.Expect(b.shard.Claim(claimOf("b", 2)).Reply().Err.Code).To(gomega.Equal(errs.NotOwner))
	b.steps(1)
	b.g.Expect(call.Reply().State).To(gomega.Equal(rpcapi.ClaimGranted))
	b.g.Expect(b.shard.Idle()).To(gomega.BeTrue())
}

// Guards against a damaged journal object that is skipped or taken as empty.
func TestDamagedObjectStopsTakeover(t *testing.T) {
	b := newBench(t, nil)
	b.claim("a", 1)
	_, err := b.store.create(positionKey(0, 3), []byte("damaged"))
	b.g.Expect(err).NotTo(gomega.HaveOccurred())
	b.shard = b.newShard("vm2", nil)
	b.shard.SetWanted(true)
	b.steps(3)
	b.g.Expect(b.shard.Owned()).To(gomega.BeFalse())
	b.g.Expect(b.shard.deps.Counters.BadObjects.Load()).To(gomega.Equal(int64(3)))
}

// Guards against compaction that leaves the store growing.
func TestCompactionBoundsTheStore(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.CompactPositions = 10 })
	for i := range uint64(200) {
		b.claim(fmt.Sprint(i), i)
	}
	b.steps(100)
	b.g.Expect(len(b.store.list("journal/0/", "", 1000, b.store.revision).Objects)).To(gomega.BeNumerically("<", 30))
	b.shard = b.newShard("vm2", nil)
	b.shard.SetWanted(true)
	b.steps(1)
	b.g.Expect(b.claim("7", 999).State).To(gomega.Equal(rpcapi.ClaimRunning))
}

// Guards against two VMs that both expect to own the shard and read the whole
// journal at each takeover.
func TestTakeoverAfterLossReadsOnlyWhatIsNew(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.CompactPositions = 1 << 40 })
	former := b.shard
	for i := range uint64(10 * chainPage) {
		b.claim(fmt.Sprint(i), i)
	}
	b.shard = b.newShard("vm2", nil)
	b.shard.SetWanted(true)
	b.steps(1)
	b.g.Expect(b.claim("new", 1000).State).To(gomega.Equal(rpcapi.ClaimGranted))
	b.shard = former
	b.g.Expect(b.claim("other", 1001).Err.Code).To(gomega.Equal(errs.NotOwner))
	before := b.store.calls
	b.steps(1)
	b.g.Expect(b.shard.Owned()).To(gomega.BeTrue())
	b.g.Expect(b.store.calls - before).To(gomega.Equal(4)) // floor, list, create, floor
	b.g.Expect(b.claim("new", 1002).State).To(gomega.Equal(rpcapi.ClaimRunning))
	b.g.Expect(b.claim("0", 1003).State).To(gomega.Equal(rpcapi.ClaimRunning))
}
