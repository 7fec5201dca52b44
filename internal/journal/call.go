package journal

import (
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// Call is one claim, outcome, release or lookup that may wait for a batch.
type Call struct {
	record       Record
	lookup       bool
	organisation string
	done         chan struct{}
	reply        rpcapi.ClaimReply
}

// Done is closed when the reply is there.
func (c *Call) Done() <-chan struct{} { return c.done }

// Reply returns the reply. It must not be called before Done is closed.
func (c *Call) Reply() rpcapi.ClaimReply { return c.reply }

func (c *Call) answer(reply rpcapi.ClaimReply) {
	c.reply = reply
	close(c.done)
}

func (c *Call) refuse(err *errs.Error) { c.answer(rpcapi.ClaimReply{Err: err}) }

func (c *Call) size() int {
	const recordOverhead = 96 // hashes, numbers and, at worst, a holder of its own
	r := &c.record
	return recordOverhead + len(r.ID.Holder.VM) + len(r.Response.ContentType) + len(r.Response.Body)
}

// Claim asks for a key.
func (s *Shard) Claim(request rpcapi.ClaimRequest) *Call {
	return s.submit(&Call{organisation: request.Key.Organisation, record: Record{
		Kind: RecordClaim, Key: KeyIDOf(request.Key), ID: request.ID, Body: BodyIDOf(request.BodyHash),
	}})
}

// Outcome stores the first answer of a claimed call. A response over the limits
// is stored without its body, not refused; a repeated call gets it as truncated.
func (s *Shard) Outcome(request rpcapi.OutcomeRequest) *Call {
	response := request.Response
	if request.Unknown {
		response = rpcapi.StoredResponse{}
	}
	limit := min(s.settings.ResponseLimit, maxResponseBytes)
	if len(response.Body) > limit || len(response.ContentType) > maxNameBytes {
		response.ContentType, response.Body, response.Truncated = "", nil, true
		s.deps.Counters.Truncated.Add(1)
	}
	return s.submit(&Call{organisation: request.Key.Organisation, record: Record{
		Kind: RecordOutcome, Key: KeyIDOf(request.Key), ID: request.ID,
		Unknown: request.Unknown, Response: response,
	}})
}

// Release frees a key whose call was certainly not sent.
func (s *Shard) Release(request rpcapi.ReleaseClaimRequest) *Call {
	return s.submit(&Call{organisation: request.Key.Organisation, record: Record{
		Kind: RecordRelease, Key: KeyIDOf(request.Key), ID: request.ID,
	}})
}

// Lookup asks for the state of a key without claiming it.
func (s *Shard) Lookup(request rpcapi.LookupRequest) *Call {
	return s.submit(&Call{lookup: true, record: Record{Key: KeyIDOf(request.Key)}})
}

// submit answers a call at once when the committed index suffices, refuses it,
// or queues it for a batch.
func (s *Shard) submit(call *Call) *Call {
	call.done = make(chan struct{})
	if err := validate(&call.record, call.lookup); err != nil {
		call.refuse(err)
		return call
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refusal(call); err != nil {
		s.deps.Counters.Refused.Add(1)
		call.refuse(err)
		return call
	}
	if step := s.decide(call); step == stepAnswered {
		return call
	}
	if s.storeDown {
		s.deps.Counters.Refused.Add(1)
		call.refuse(s.errStoreDown())
		return call
	}
	s.queue = append(s.queue, call)
	s.queueSize += call.size()
	s.signal()
	return call
}

func validate(r *Record, lookup bool) *errs.Error {
	const maxStatus = 999
	response := &r.Response
	if lookup {
		return nil
	}
	if len(r.ID.Holder.VM) > maxNameBytes || len(response.ContentType) > maxNameBytes ||
		response.Status < 0 || response.Status > maxStatus || len(response.Body) > maxResponseBytes {
		return errs.NotRun(errs.InvalidRequest, "journal call has a field out of range")
	}
	return nil
}

// refusal returns why a call cannot be taken now, or nil. Callers hold the lock.
func (s *Shard) refusal(call *Call) *errs.Error {
	switch {
	case s.mode == modeAcquiring && s.storeDown:
		return s.errStoreDown()
	case s.mode != modeOwned:
		return errNotOwner()
	case len(s.queue) >= s.settings.MaxQueue || s.queueSize+call.size() > s.settings.IndexLimit:
		return errOverloaded(s.settings.BackoffMax)
	}
	return nil
}

// step is what a call needs next.
type step uint8

const (
	stepAnswered step = iota // the reply is there
	stepWrite                // its record must be committed
	stepConfirm              // the answer holds only if a batch shows that this VM still owns the shard
)

// decide looks a call up in the committed index. Only facts that stay true are
// answered at once: a former owner may still be asked. Callers hold the lock.
func (s *Shard) decide(call *Call) step {
	switch {
	case call.lookup:
		return s.decideLookup(call)
	case call.record.Kind == RecordClaim:
		return s.decideClaim(call)
	}
	return s.decideEnd(call)
}

func (s *Shard) decideClaim(call *Call) step {
	r := &call.record
	state := s.index.Ask(r.Key, r.ID, r.Body)
	switch {
	case state.Released:
		call.refuse(errs.NotRun(errs.Conflict, "the claim id was released"))
	case state.State != rpcapi.ClaimAbsent:
		call.answer(s.visible(state))
	case s.index.Bytes()+s.queueSize > s.settings.IndexLimit:
		// Dropping younger claims instead would let a call run twice.
		s.deps.Counters.Refused.Add(1)
		call.refuse(errOverloaded(time.Minute))
	default:
		return stepWrite
	}
	return stepAnswered
}

func (s *Shard) decideLookup(call *Call) step {
	state := s.index.Lookup(call.record.Key)
	if state.State == rpcapi.ClaimAbsent {
		return stepConfirm
	}
	call.answer(s.visible(state))
	return stepAnswered
}

// decideEnd handles outcomes and releases.
func (s *Shard) decideEnd(call *Call) step {
	e, live := s.index.live(call.record.Key)
	owns := live && s.index.idOf(e) == call.record.ID
	switch {
	case owns && s.settled(e, &call.record):
		call.answer(rpcapi.ClaimReply{})
		return stepAnswered
	case owns && e.state == entryRunning:
		return stepWrite
	case owns && e.state == entryUnknown && call.record.Kind == RecordOutcome:
		return stepWrite
	case !live && call.record.Kind == RecordRelease:
		return stepWrite
	}
	return stepConfirm
}

// settled reports whether an earlier call had the same effect.
func (s *Shard) settled(e entry, r *Record) bool {
	switch {
	case r.Kind == RecordRelease:
		return e.state == entryReleased
	case r.Unknown:
		return e.state == entryUnknown || e.state == entryFinished
	}
	return e.state == entryFinished
}

// visible turns a claim without an outcome whose holder is gone into
// ClaimUnknown. Such a key is never granted again.
func (s *Shard) visible(state KeyState) rpcapi.ClaimReply {
	reply := rpcapi.ClaimReply{State: state.State, Response: state.Response}
	if state.State == rpcapi.ClaimRunning && s.deps.Liveness.Gone(state.Holder) {
		reply.State = rpcapi.ClaimUnknown
	}
	return reply
}

// afterCommit answers a call whose batch is committed and applied.
func (s *Shard) afterCommit(call *Call) {
	r := &call.record
	switch {
	case call.lookup:
		call.answer(s.visible(s.index.Lookup(r.Key)))
	case r.Kind == RecordClaim:
		s.recordCall(timeline.ClaimCommitted, call)
		call.answer(s.visible(s.index.Ask(r.Key, r.ID, r.Body)))
	default:
		s.answerEnd(call)
	}
}

func (s *Shard) answerEnd(call *Call) {
	r := &call.record
	e, live := s.index.live(r.Key)
	switch {
	case live && s.index.idOf(e) == r.ID && s.settled(e, r):
		s.recordCall(endEvent[r.Kind], call)
		call.answer(rpcapi.ClaimReply{})
	case r.Kind == RecordRelease:
		call.answer(rpcapi.ClaimReply{}) // another claim id has the key
	default:
		call.refuse(errs.New(errs.Conflict, "the claim id does not hold the key"))
	}
}

var endEvent = map[RecordKind]timeline.Kind{
	RecordOutcome: timeline.OutcomeCommitted,
	RecordRelease: timeline.ClaimReleased,
}
