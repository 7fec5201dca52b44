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

// scriptedFaults returns the faults that a test sets.
type scriptedFaults struct {
	writeResult   writeFault // fault of all writes
	readsFail     bool
	delayedWrites []func()
}

func (s *scriptedFaults) pause()                 {}
func (s *scriptedFaults) delay(write func())     { s.delayedWrites = append(s.delayedWrites, write) }
func (s *scriptedFaults) writeFault() writeFault { return s.writeResult }

func (s *scriptedFaults) readRevision(minRevision int64) int64 {
	if s.readsFail {
		return -1
	}
	return max(minRevision, 1<<40)
}

type goneSet map[model.Holder]bool

func (g goneSet) Gone(holder model.Holder) bool { return g[holder] }

// shardFixture holds one shard with its store, clock and faults.
type shardFixture struct {
	g      *gomega.WithT
	store  *fakeStore
	faults *scriptedFaults
	gone   goneSet
	now    time.Time
	shard  *Shard
}

// newShardFixture returns a fixture whose shard is owned.
func newShardFixture(tb testing.TB, change func(*Settings)) *shardFixture {
	f := &shardFixture{
		g: gomega.NewWithT(tb), store: newFakeStore(), faults: &scriptedFaults{}, gone: goneSet{},
		now: time.UnixMilli(1_700_000_000_000),
	}
	f.shard = f.newShard("vm1", change)
	f.shard.SetAssigned(true)
	f.runSteps(1)
	f.g.Expect(f.shard.Owned()).To(gomega.BeTrue())
	return f
}

func (f *shardFixture) newShard(vm string, change func(*Settings)) *Shard {
	settings := DefaultSettings(model.Holder{VM: vm, Incarnation: 1})
	if change != nil {
		change(&settings)
	}
	return NewShard(0, settings, Dependencies{
		Store: &faultyStore{store: f.store, faults: f.faults}, Liveness: f.gone,
		Now: func() time.Time { return f.now }, Rand: rand.New(rand.NewPCG(1, 1)),
		Recorder: timeline.Discard{}, Log: zerolog.New(io.Discard), Counters: &Counters{},
	})
}

// runSteps runs n steps, and before each advances the clock past any wait.
func (f *shardFixture) runSteps(n int) {
	for range n {
		f.now = f.now.Add(f.shard.settings.BackoffMax)
		f.shard.Step(context.Background())
	}
}

func newClaimRequest(key string, number uint64) rpcapi.ClaimRequest {
	return rpcapi.ClaimRequest{
		Key: rpcapi.ClaimKey{Organisation: "o", Kind: "k", Key: key},
		ID:  rpcapi.ClaimID{Holder: model.Holder{VM: "front", Incarnation: 1}, Number: number},
	}
}

func (f *shardFixture) claim(key string, number uint64) rpcapi.ClaimReply {
	call := f.shard.Claim(newClaimRequest(key, number))
	f.runSteps(1)
	f.g.Expect(call.Done()).To(gomega.BeClosed())
	return call.Reply()
}

func (f *shardFixture) outcome(key string, number uint64, body []byte) *errs.Error {
	request := newClaimRequest(key, number)
	call := f.shard.Outcome(rpcapi.OutcomeRequest{
		Key: request.Key, ID: request.ID, Response: rpcapi.StoredResponse{Status: 200, Body: body},
	})
	f.runSteps(1)
	return call.Reply().Err
}

// Guards against a repeated call that gets another response than the first, and
// against a key that is granted again before its retention ends.
func TestRepeatGetsFirstResponseUntilRetentionEnds(t *testing.T) {
	f := newShardFixture(t, nil)
	f.g.Expect(f.claim("a", 1).State).To(gomega.Equal(rpcapi.ClaimGranted))
	f.g.Expect(f.claim("a", 1).State).To(gomega.Equal(rpcapi.ClaimGranted))
	f.g.Expect(f.claim("a", 2).State).To(gomega.Equal(rpcapi.ClaimRunning))
	f.g.Expect(f.outcome("a", 2, nil).Code).To(gomega.Equal(errs.Conflict))
	f.g.Expect(f.outcome("a", 1, []byte("first"))).To(gomega.BeNil())
	f.g.Expect(f.outcome("a", 1, []byte("second"))).To(gomega.BeNil())
	f.g.Expect(string(f.claim("a", 2).Response.Body)).To(gomega.Equal("first"))
	f.now = f.now.Add(23 * time.Hour)
	f.claim("clock", 3)
	f.g.Expect(f.claim("a", 4).State).To(gomega.Equal(rpcapi.ClaimFinished))
	f.now = f.now.Add(time.Hour)
	f.claim("clock2", 5)
	f.g.Expect(f.claim("a", 6).State).To(gomega.Equal(rpcapi.ClaimGranted))
}

// Guards against a claim that expires while its holder may still send the call,
// and against a claim that never expires although its holder is gone.
func TestClaimWithoutOutcomeExpiresOnlyWhenHolderIsGone(t *testing.T) {
	f := newShardFixture(t, func(s *Settings) { s.CompactionThreshold = 1 })
	f.claim("a", 1)
	f.now = f.now.Add(48 * time.Hour)
	f.claim("clock", 2)
	f.g.Expect(f.claim("a", 3).State).To(gomega.Equal(rpcapi.ClaimRunning))
	f.gone[newClaimRequest("a", 1).ID.Holder] = true
	f.g.Expect(f.claim("a", 4).State).To(gomega.Equal(rpcapi.ClaimUnknown))
	for i := range uint64(10) {
		f.claim(fmt.Sprint("more", i), 10+i)
		f.runSteps(5)
	}
	f.now = f.now.Add(25 * time.Hour)
	f.claim("clock2", 100)
	f.g.Expect(f.claim("a", 101).State).To(gomega.Equal(rpcapi.ClaimGranted))
}

// Guards against a delayed duplicate of a released claim request that claims the
// key again.
func TestReleasedClaimIDIsNotGrantedAgain(t *testing.T) {
	f := newShardFixture(t, nil)
	request := newClaimRequest("a", 1)
	release := f.shard.Release(rpcapi.ReleaseClaimRequest{Key: request.Key, ID: request.ID})
	f.runSteps(1)
	f.g.Expect(release.Reply().Err).To(gomega.BeNil())
	f.g.Expect(f.claim("a", 1).Err.Code).To(gomega.Equal(errs.Conflict))
	f.g.Expect(f.claim("a", 2).State).To(gomega.Equal(rpcapi.ClaimGranted))
}

// Guards against a full index that evicts claims or still grants new ones, and
// against storing a response body over the limit.
func TestFullIndexRefusesNewClaims(t *testing.T) {
	f := newShardFixture(t, func(s *Settings) { s.MaxIndexBytes, s.MaxResponseBytes = 10*entryBytes, 8 })
	for i := range uint64(10) {
		f.claim(fmt.Sprint(i), i)
	}
	f.g.Expect(f.outcome("0", 0, make([]byte, 9))).To(gomega.BeNil())
	for i := range uint64(10) {
		f.claim(fmt.Sprint("x", i), 100+i)
	}
	refused := f.claim("late", 1000).Err
	f.g.Expect(refused.Code).To(gomega.Equal(errs.Overloaded))
	f.g.Expect(refused.Ran).To(gomega.Equal(errs.RanNo))
	again := f.claim("0", 2000)
	f.g.Expect(again.State).To(gomega.Equal(rpcapi.ClaimFinished))
	f.g.Expect(again.Response.Truncated).To(gomega.BeTrue())
}

// Guards against an outcome that is refused for its size, which would leave the
// call without an outcome.
func TestOversizedOutcomeIsStoredWithoutBody(t *testing.T) {
	f := newShardFixture(t, func(s *Settings) { s.MaxResponseBytes = 1 << 40 })
	f.claim("a", 1)
	f.g.Expect(f.outcome("a", 1, make([]byte, maxResponseBytes+1))).To(gomega.BeNil())
	f.g.Expect(f.claim("a", 2).Response).To(gomega.Equal(rpcapi.StoredResponse{Status: 200, Truncated: true}))
}

// Guards against calls that hang or are retried without a pause during an outage,
// and against more than one store call per backoff.
func TestOutageRefusesClaimsWithRetryTime(t *testing.T) {
	f := newShardFixture(t, nil)
	f.faults.writeResult, f.faults.readsFail = writeUnavailable, true
	first := f.claim("a", 1).Err
	f.g.Expect(first.Code).To(gomega.Equal(errs.StoreUnavailable))
	f.g.Expect(first.Retry).To(gomega.BeNumerically(">", 0))
	before := f.store.calls
	for i := range uint64(100) {
		refused := f.shard.Claim(newClaimRequest(fmt.Sprint(i), i)).Reply().Err
		f.g.Expect(refused.Code).To(gomega.Equal(errs.StoreUnavailable))
		f.g.Expect(refused.Ran).To(gomega.Equal(errs.RanNo))
		f.shard.Step(context.Background())
	}
	f.g.Expect(f.store.calls - before).To(gomega.BeNumerically("<=", 1))
	f.faults.writeResult, f.faults.readsFail = writeApplied, false
	f.runSteps(1)
	f.g.Expect(f.claim("a", 2).State).To(gomega.Equal(rpcapi.ClaimGranted))
}

// Guards against a batch that is lost or written twice after the response to its
// create was lost.
func TestLostResponseIsResolvedByIdentity(t *testing.T) {
	f := newShardFixture(t, nil)
	f.faults.writeResult = writeUnanswered
	call := f.shard.Claim(newClaimRequest("a", 1))
	f.runSteps(1)
	f.g.Expect(call.Done()).NotTo(gomega.BeClosed())
	f.faults.writeResult = writeApplied
	f.runSteps(1)
	f.g.Expect(call.Reply().State).To(gomega.Equal(rpcapi.ClaimGranted))
	f.g.Expect(f.shard.index.Position()).To(gomega.Equal(uint64(2)))
}

// Guards against a former owner that reports a key as absent although the new
// owner has granted it.
func TestFormerOwnerDoesNotReportAbsent(t *testing.T) {
	f := newShardFixture(t, nil)
	former := f.shard
	f.shard = f.newShard("vm2", nil)
	f.shard.SetAssigned(true)
	f.runSteps(1)
	f.g.Expect(f.claim("a", 1).State).To(gomega.Equal(rpcapi.ClaimGranted))
	lookup := former.Lookup(rpcapi.LookupRequest{Key: newClaimRequest("a", 1).Key})
	f.shard = former
	f.runSteps(1)
	f.g.Expect(lookup.Reply().Err.Code).To(gomega.Equal(errs.NotOwner))
}

// Guards against a shard that refuses its queued calls, or accepts new ones, when
// it is no longer assigned to the VM.
func TestDrainCommitsWaitingCalls(t *testing.T) {
	f := newShardFixture(t, nil)
	call := f.shard.Claim(newClaimRequest("a", 1))
	f.shard.SetAssigned(false)
	f.g.Expect(f.shard.Claim(newClaimRequest("b", 2)).Reply().Err.Code).To(gomega.Equal(errs.NotOwner))
	f.runSteps(1)
	f.g.Expect(call.Reply().State).To(gomega.Equal(rpcapi.ClaimGranted))
	f.g.Expect(f.shard.Idle()).To(gomega.BeTrue())
}

// Guards against a damaged journal object that is skipped or treated as empty.
func TestDamagedObjectStopsTakeover(t *testing.T) {
	f := newShardFixture(t, nil)
	f.claim("a", 1)
	_, err := f.store.create(positionKey(0, 3), []byte("damaged"))
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.shard = f.newShard("vm2", nil)
	f.shard.SetAssigned(true)
	f.runSteps(3)
	f.g.Expect(f.shard.Owned()).To(gomega.BeFalse())
	f.g.Expect(f.shard.deps.Counters.BadObjects.Load()).To(gomega.Equal(int64(3)))
}

// Guards against objects that accumulate in the store despite compaction, and
// against a claim that is lost by it.
func TestCompactionBoundsTheStore(t *testing.T) {
	f := newShardFixture(t, func(s *Settings) { s.CompactionThreshold = 10 })
	for i := range uint64(200) {
		f.claim(fmt.Sprint(i), i)
	}
	f.runSteps(100)
	f.g.Expect(len(f.store.list("journal/0/", "", 1000, f.store.revision).Objects)).To(gomega.BeNumerically("<", 30))
	f.shard = f.newShard("vm2", nil)
	f.shard.SetAssigned(true)
	f.runSteps(1)
	f.g.Expect(f.claim("7", 999).State).To(gomega.Equal(rpcapi.ClaimRunning))
}

// Guards against reading the whole journal at each takeover when two VMs both
// expect to own the shard and take it from each other.
func TestTakeoverAfterLossReadsOnlyWhatIsNew(t *testing.T) {
	f := newShardFixture(t, func(s *Settings) { s.CompactionThreshold = 1 << 40 })
	former := f.shard
	for i := range uint64(10 * replayPageSize) {
		f.claim(fmt.Sprint(i), i)
	}
	f.shard = f.newShard("vm2", nil)
	f.shard.SetAssigned(true)
	f.runSteps(1)
	f.g.Expect(f.claim("new", 1000).State).To(gomega.Equal(rpcapi.ClaimGranted))
	f.shard = former
	f.g.Expect(f.claim("other", 1001).Err.Code).To(gomega.Equal(errs.NotOwner))
	before := f.store.calls
	f.runSteps(1)
	f.g.Expect(f.shard.Owned()).To(gomega.BeTrue())
	f.g.Expect(f.store.calls - before).To(gomega.Equal(4)) // floor, list, create, floor
	f.g.Expect(f.claim("new", 1002).State).To(gomega.Equal(rpcapi.ClaimRunning))
	f.g.Expect(f.claim("0", 1003).State).To(gomega.Equal(rpcapi.ClaimRunning))
}
