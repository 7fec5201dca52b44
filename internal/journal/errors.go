package journal

import (
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/timeline"
)

// Counters of all shards of a VM.
type Counters struct {
	Batches       atomic.Int64 // committed
	Records       atomic.Int64 // in committed batches
	Takeovers     atomic.Int64
	Lost          atomic.Int64 // ownership found lost
	StoreFailures atomic.Int64 // store calls that failed
	Refused       atomic.Int64 // calls refused without an answer
	BadObjects    atomic.Int64 // store objects refused by the decoder
	Truncated     atomic.Int64 // responses not kept because they were too large
	Compactions   atomic.Int64
	Backlog       atomic.Int64 // outcomes and releases that wait to be sent again
	BacklogLost   atomic.Int64 // outcomes and releases dropped from a full backlog
}

// The errors below say that the asking attempt was not granted here. The front
// end never dispatches such an attempt, so RanNo holds.

func errNotOwner() *errs.Error {
	return errs.NotRun(errs.NotOwner, "this VM does not own the journal shard")
}

func errOverloaded(retry time.Duration) *errs.Error {
	return errs.NotRun(errs.Overloaded, "journal shard is full").WithRetry(retry)
}

func (s *Shard) record(kind timeline.Kind, detail string) {
	s.deps.Recorder.Record(timeline.Event{Kind: kind, Detail: shardPrefix(s.number) + " " + detail})
}

func (s *Shard) recordCall(kind timeline.Kind, call *Call) {
	s.deps.Recorder.Record(timeline.Event{
		Kind: kind, Organisation: call.organisation, Detail: call.record.Key.String(),
	})
}
