package journal

import (
	"fmt"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
)

// mechanism names a safety mechanism of the design that a test switches off, by
// the fault that results.
type mechanism string

const (
	noMechanism           mechanism = ""
	claimBeforeStored     mechanism = "a claim counts before its batch is stored"
	releaseAfterSend      mechanism = "the front end releases a claim after dispatch"
	dispatchOnError       mechanism = "the front end dispatches without a granted claim"
	repeatInProgress      mechanism = "the front end dispatches a key that another claim id holds"
	firstFreshClaimNumber           = 1000
	stepsPerRun                     = 2500
	keysPerRun                      = 3
	maxAttempts                     = 32
	maxLiveVMs                      = 4
	maxReplyPauses                  = 40
	maxClaimTries                   = 8
	maxOutcomeTries                 = 12
)

// job is a call that a front end has sent to a target.
type job struct {
	attempt  *attempt
	ran      bool
	lost     bool
	response []byte
}

// attempt is one call from a caller to one front end.
type attempt struct {
	key          rpcapi.ClaimKey
	body         byte
	id           rpcapi.ClaimID
	vm           *simVM
	reported     string // what the caller received; empty while it waits
	responseBody []byte
	sent         bool
}

// vmFaults draws the faults of one VM's store calls at random.
type vmFaults struct {
	simulation *simulation
	pauseActor func()
}

func (f *vmFaults) pause() { f.pauseActor() }
func (f *vmFaults) delay(write func()) {
	f.simulation.delayedWrites = append(f.simulation.delayedWrites, write)
}

func (f *vmFaults) writeFault() writeFault {
	sim := f.simulation
	switch {
	case sim.faultsEnded:
		return writeApplied
	case sim.storeDown:
		return writeUnavailable
	case sim.disabled == claimBeforeStored && sim.chance(0.2):
		return writeFalselyAcknowledged
	case sim.chance(sim.faultRate):
		return writeFault(1 + sim.rng.IntN(int(writeDelayed)))
	}
	return writeApplied
}

func (f *vmFaults) readRevision(minRevision int64) int64 {
	sim := f.simulation
	switch {
	case sim.faultsEnded:
		return sim.store.revision
	case sim.storeDown:
		return -1
	case sim.chance(sim.faultRate):
		return max(0, sim.store.revision-int64(sim.rng.IntN(12)))
	}
	return sim.store.revision
}

// await waits for a reply. It returns false if the reply is lost or does not come,
// as from a crashed owner.
func (sim *simulation) await(call *Call, pause func()) (rpcapi.ClaimReply, bool) {
	for range maxReplyPauses {
		select {
		case <-call.Done():
			return call.Reply(), sim.faultsEnded || !sim.chance(sim.faultRate/2)
		default:
			pause()
		}
	}
	return rpcapi.ClaimReply{}, false
}

// repeatUntilAccepted sends an outcome or release to random VMs until one accepts
// it or answers with a conflict, up to maxOutcomeTries times.
func (sim *simulation) repeatUntilAccepted(pause func(), ask func(shard *Shard) *Call) {
	for range maxOutcomeTries {
		reply, ok := sim.await(ask(sim.pickVM().shard), pause)
		if ok && (reply.Err == nil || errs.Is(reply.Err, errs.Conflict)) {
			return
		}
		pause()
	}
}

func (sim *simulation) newAttempt() {
	liveVMs := sim.liveVMs()
	a := &attempt{vm: liveVMs[sim.rng.IntN(len(liveVMs))]}
	a.key = rpcapi.ClaimKey{Organisation: "o", Kind: "k", Key: fmt.Sprint(sim.rng.IntN(keysPerRun))}
	if sim.chance(0.1) {
		a.body = 1
	}
	sim.attempts = append(sim.attempts, a)
	a.id = rpcapi.ClaimID{Holder: a.vm.holder, Number: uint64(len(sim.attempts))}
	a.vm.actors = append(a.vm.actors, newActor(func(pause func()) { sim.runFrontEnd(a, pause) }))
}

// runFrontEnd serves one call at the front end: it claims the key, dispatches the
// call if the claim is granted, and stores the outcome.
func (sim *simulation) runFrontEnd(a *attempt, pause func()) {
	pause()
	reply, found := sim.claim(a, pause)
	switch {
	case sim.disabled == dispatchOnError && !found:
		sim.dispatch(a, pause)
	case !found:
		a.report("not_run")
		sim.release(a, pause)
	case reply.State == rpcapi.ClaimGranted && sim.chance(0.15):
		a.report("not_run")
		sim.release(a, pause)
	case reply.State == rpcapi.ClaimGranted:
		sim.dispatch(a, pause)
	case reply.State == rpcapi.ClaimFinished:
		a.responseBody = reply.Response.Body
		a.report("answer")
	case reply.State == rpcapi.ClaimRunning && sim.disabled == repeatInProgress:
		sim.dispatch(a, pause)
	default:
		a.report(string(reply.State))
	}
}

func (a *attempt) report(what string) { a.reported = what }

func (sim *simulation) claim(a *attempt, pause func()) (rpcapi.ClaimReply, bool) {
	request := rpcapi.ClaimRequest{Key: a.key, ID: a.id, BodyHash: [32]byte{a.body}}
	for range maxClaimTries {
		reply, ok := sim.await(sim.pickVM().shard.Claim(request), pause)
		if ok && reply.Err == nil {
			return reply, true
		}
		pause()
	}
	return rpcapi.ClaimReply{}, false
}

func (sim *simulation) release(a *attempt, pause func()) {
	request := rpcapi.ReleaseClaimRequest{Key: a.key, ID: a.id}
	sim.repeatUntilAccepted(pause, func(shard *Shard) *Call { return shard.Release(request) })
}

func (sim *simulation) outcome(a *attempt, pause func(), unknown bool, body []byte) {
	request := rpcapi.OutcomeRequest{
		Key: a.key, ID: a.id, Unknown: unknown, Response: rpcapi.StoredResponse{Status: 200, Body: body},
	}
	sim.repeatUntilAccepted(pause, func(shard *Shard) *Call { return shard.Outcome(request) })
}

func (sim *simulation) dispatch(a *attempt, pause func()) {
	pause()
	j := &job{attempt: a, lost: !sim.faultsEnded && sim.chance(0.1)}
	a.sent = true
	sim.pendingJobs = append(sim.pendingJobs, j)
	if sim.disabled == releaseAfterSend && sim.chance(0.3) {
		sim.release(a, pause)
	}
	remainingPauses := 5 + sim.rng.IntN(60)
	for ; remainingPauses > 0 && !j.ran; remainingPauses-- {
		pause()
	}
	if !j.ran {
		a.report("unknown")
		sim.outcome(a, pause, true, nil)
		for tries := 0; tries < maxReplyPauses && !j.ran; tries++ {
			pause()
		}
	}
	if j.ran {
		sim.finishAnswered(a, j, pause)
	}
}

// finishAnswered stores the outcome either before or after the caller receives the
// answer.
func (sim *simulation) finishAnswered(a *attempt, j *job, pause func()) {
	before := sim.chance(0.5)
	if before {
		sim.outcome(a, pause, false, j.response)
	}
	if a.reported == "" {
		a.responseBody = j.response
		a.report("answer")
	}
	if !before {
		sim.outcome(a, pause, false, j.response)
	}
}
