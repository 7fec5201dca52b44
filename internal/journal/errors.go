package journal

import (
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/timeline"
)

// Counters counts the events of all shards of a VM.
type Counters struct {
	Batches         atomic.Int64 // batches committed
	Records         atomic.Int64 // records in committed batches
	Takeovers       atomic.Int64 // completed takeovers of shards
	OwnershipLosses atomic.Int64 // times that a shard found its ownership lost
	StoreFailures   atomic.Int64 // failed operations, most of them store calls
	Refused         atomic.Int64 // calls refused because the shard is not owned, is full or has no store
	BadObjects      atomic.Int64 // store objects that could not be decoded
	Truncated       atomic.Int64 // responses stored without their body because they were too large
	Compactions     atomic.Int64 // compactions that raised the floor
	Backlog         atomic.Int64 // outcomes and releases that wait for another attempt
	BacklogLost     atomic.Int64 // outcomes and releases dropped because the backlog was full
}

// errNotOwner returns the error of a call to a VM that does not own the shard.
// The claim was not granted, and the front end never dispatches a call without a
// granted claim. The error therefore states that the call did not run.
func errNotOwner() *errs.Error {
	return errs.NotRun(errs.NotOwner, "this VM does not own the journal shard")
}

// errOverloaded returns the error of a call that found the queue or the index of
// the shard full. As with errNotOwner, the call did not run.
func errOverloaded(retry time.Duration) *errs.Error {
	return errs.NotRun(errs.Overloaded, "the queue or the index of the journal shard is full").WithRetry(retry)
}

func (s *Shard) recordEvent(kind timeline.Kind, detail string) {
	s.deps.Recorder.Record(timeline.Event{Kind: kind, Detail: shardPrefix(s.number) + " " + detail})
}

func (s *Shard) recordCallEvent(kind timeline.Kind, call *Call) {
	s.deps.Recorder.Record(timeline.Event{
		Kind: kind, Organisation: call.organisation, Detail: call.record.Key.String(),
	})
}
