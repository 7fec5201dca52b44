package journal

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// Call is one claim, outcome, release or lookup. It may wait for a batch to be
// committed.
type Call struct {
	record       Record
	isLookup     bool
	organisation string
	done         chan struct{}
	reply        rpcapi.ClaimReply
}

// Done returns a channel that is closed when the reply is available.
func (c *Call) Done() <-chan struct{} { return c.done }

// Reply returns the reply. It must not be called before Done is closed.
func (c *Call) Reply() rpcapi.ClaimReply { return c.reply }

func (c *Call) answer(reply rpcapi.ClaimReply) {
	c.reply = reply
	close(c.done)
}

func (c *Call) refuse(err *errs.Error) { c.answer(rpcapi.ClaimReply{Err: err}) }

// size returns an upper estimate of the encoded size of the record.
func (c *Call) size() int {
	const recordOverhead = 96 // hashes, numbers and, at worst, a holder entry for this record alone
	r := &c.record
	return recordOverhead + len(r.ID.Holder.VM) + len(r.Response.ContentType) + len(r.Response.Body)
}

// Claim requests a key for a claim id.
func (s *Shard) Claim(request rpcapi.ClaimRequest) *Call {
	return s.submit(&Call{organisation: request.Key.Organisation, record: Record{
		Kind: RecordClaim, Key: HashKey(request.Key), ID: request.ID, Body: TruncateBodyHash(request.BodyHash),
	}})
}

// Outcome stores the first answer of a claimed call. A response that exceeds the
// limits is not refused but stored without its content type and body, and a
// repeated call gets it marked as truncated.
func (s *Shard) Outcome(request rpcapi.OutcomeRequest) *Call {
	response := request.Response
	if request.Unknown {
		response = rpcapi.StoredResponse{}
	}
	limit := min(s.settings.MaxResponseBytes, maxResponseBytes)
	if len(response.Body) > limit || len(response.ContentType) > maxNameBytes {
		response.ContentType, response.Body, response.Truncated = "", nil, true
		s.deps.Counters.Truncated.Add(1)
	}
	return s.submit(&Call{organisation: request.Key.Organisation, record: Record{
		Kind: RecordOutcome, Key: HashKey(request.Key), ID: request.ID,
		Unknown: request.Unknown, Response: response,
	}})
}

// Release frees a key whose call was certainly not sent.
func (s *Shard) Release(request rpcapi.ReleaseClaimRequest) *Call {
	return s.submit(&Call{organisation: request.Key.Organisation, record: Record{
		Kind: RecordRelease, Key: HashKey(request.Key), ID: request.ID,
	}})
}

// Lookup requests the state of a key without claiming it.
func (s *Shard) Lookup(request rpcapi.LookupRequest) *Call {
	return s.submit(&Call{isLookup: true, record: Record{Key: HashKey(request.Key)}})
}

// submit answers a call immediately if the committed index is sufficient.
// Otherwise it refuses the call or queues it for the next batch.
func (s *Shard) submit(call *Call) *Call {
	call.done = make(chan struct{})
	if err := validate(&call.record, call.isLookup); err != nil {
		call.refuse(err)
		return call
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAdmission(call); err != nil {
		s.deps.Counters.Refused.Add(1)
		call.refuse(err)
		return call
	}
	if next := s.decide(call); next == decisionAnswered {
		return call
	}
	if s.storeDown {
		s.deps.Counters.Refused.Add(1)
		call.refuse(s.errStoreDown())
		return call
	}
	s.queue = append(s.queue, call)
	s.queueBytes += call.size()
	s.wakeUp()
	return call
}

// validate returns an error if a field of the record exceeds what the decoder
// accepts.
func validate(r *Record, lookup bool) *errs.Error {
	const maxStatus = 999
	response := &r.Response
	if lookup {
		return nil
	}
	if len(r.ID.Holder.VM) > maxNameBytes || len(response.ContentType) > maxNameBytes ||
		response.Status < 0 || response.Status > maxStatus || len(response.Body) > maxResponseBytes {
		return errs.NotRun(errs.InvalidRequest, "the VM name, content type, status or body of the journal call is out of range")
	}
	return nil
}

// checkAdmission returns the reason why the shard cannot accept a call now, or nil.
// Callers hold the lock.
func (s *Shard) checkAdmission(call *Call) *errs.Error {
	switch {
	case s.mode == modeAcquiring && s.storeDown:
		return s.errStoreDown()
	case s.mode != modeOwned:
		return errNotOwner()
	case len(s.queue) >= s.settings.MaxQueuedCalls || s.queueBytes+call.size() > s.settings.MaxIndexBytes:
		return errOverloaded(s.settings.BackoffMax)
	}
	return nil
}

// decision states what a call needs before it can be answered.
type decision uint8

const (
	decisionAnswered decision = iota // the reply is available
	decisionWrite                    // the call's record must be committed
	decisionConfirm                  // a commit must show that this VM still owns the shard
)

// decide looks a call up in the committed index. It answers immediately only
// with facts that cannot change later, because a former owner may still receive
// calls. Callers hold the lock.
func (s *Shard) decide(call *Call) decision {
	switch {
	case call.isLookup:
		return s.decideLookup(call)
	case call.record.Kind == RecordClaim:
		return s.decideClaim(call)
	}
	return s.decideOutcomeOrRelease(call)
}

func (s *Shard) decideClaim(call *Call) decision {
	r := &call.record
	state := s.index.LookupClaim(r.Key, r.ID, r.Body)
	switch {
	case state.Released:
		call.refuse(errs.NotRun(errs.Conflict, "the claim id was released and cannot be used again"))
	case state.State != rpcapi.ClaimAbsent:
		call.answer(s.replyFor(state))
	case s.index.Bytes()+s.queueBytes > s.settings.MaxIndexBytes:
		// Evicting existing claims instead would let a call run twice.
		s.deps.Counters.Refused.Add(1)
		call.refuse(errOverloaded(time.Minute))
	default:
		return decisionWrite
	}
	return decisionAnswered
}

func (s *Shard) decideLookup(call *Call) decision {
	state := s.index.Lookup(call.record.Key)
	if state.State == rpcapi.ClaimAbsent {
		return decisionConfirm
	}
	call.answer(s.replyFor(state))
	return decisionAnswered
}

// decideOutcomeOrRelease decides outcomes and releases, the calls that follow a
// claim.
func (s *Shard) decideOutcomeOrRelease(call *Call) decision {
	e, live := s.index.live(call.record.Key)
	holdsKey := live && s.index.claimID(e) == call.record.ID
	switch {
	case holdsKey && s.alreadyApplied(e, &call.record):
		call.answer(rpcapi.ClaimReply{})
		return decisionAnswered
	case holdsKey && e.state == entryRunning:
		return decisionWrite
	case holdsKey && e.state == entryUnknown && call.record.Kind == RecordOutcome:
		return decisionWrite
	case !live && call.record.Kind == RecordRelease:
		return decisionWrite
	}
	return decisionConfirm
}

// alreadyApplied reports whether the entry already shows the effect of the record.
func (s *Shard) alreadyApplied(e entry, r *Record) bool {
	switch {
	case r.Kind == RecordRelease:
		return e.state == entryReleased
	case r.Unknown:
		return e.state == entryUnknown || e.state == entryFinished
	}
	return e.state == entryFinished
}

// replyFor returns the reply for the state of a key. A claim without an outcome
// whose holder is gone becomes ClaimUnknown, because nobody will report whether
// its call ran.
func (s *Shard) replyFor(state KeyState) rpcapi.ClaimReply {
	reply := rpcapi.ClaimReply{State: state.State, Response: state.Response}
	if state.State == rpcapi.ClaimRunning && s.deps.Liveness.Gone(state.Holder) {
		reply.State = rpcapi.ClaimUnknown
	}
	return reply
}

// answerCommitted answers a call whose batch is committed and applied to the
// index.
func (s *Shard) answerCommitted(call *Call) {
	r := &call.record
	switch {
	case call.isLookup:
		call.answer(s.replyFor(s.index.Lookup(r.Key)))
	case r.Kind == RecordClaim:
		s.recordCallEvent(timeline.ClaimCommitted, call)
		call.answer(s.replyFor(s.index.LookupClaim(r.Key, r.ID, r.Body)))
	default:
		s.answerOutcomeOrRelease(call)
	}
}

func (s *Shard) answerOutcomeOrRelease(call *Call) {
	r := &call.record
	e, live := s.index.live(r.Key)
	switch {
	case live && s.index.claimID(e) == r.ID && s.alreadyApplied(e, r):
		s.recordCallEvent(committedEventKinds[r.Kind], call)
		call.answer(rpcapi.ClaimReply{})
	case r.Kind == RecordRelease:
		call.answer(rpcapi.ClaimReply{}) // another claim id holds the key, so there is nothing to release
	default:
		call.refuse(errs.New(errs.Conflict, "the claim id does not hold the key"))
	}
}

// committedEventKinds maps outcomes and releases to the timeline events of their
// commits.
var committedEventKinds = map[RecordKind]timeline.Kind{
	RecordOutcome: timeline.OutcomeCommitted,
	RecordRelease: timeline.ClaimReleased,
}
