package journal

import (
	"fmt"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
)

// mechanism names a part of the design that a test switches off.
type mechanism string

const (
	none              mechanism = ""
	claimBeforeStored mechanism = "a claim counts before its batch is stored"
	releaseAfterSend  mechanism = "the front end releases a claim after dispatch"
	dispatchOnError   mechanism = "the front end dispatches without a granted claim"
	repeatInProgress  mechanism = "the front end dispatches a key that another claim id holds"
	freshIDs                    = 1000
	stepsPerRun                 = 2500
	keysPerRun                  = 3
	maxAttempts                 = 32
	maxLivingVMs                = 4
	awaitPauses                 = 40
	claimTries                  = 8
	endTries                    = 12
)

type job struct {
	attempt  *attempt
	ran      bool
	lost     bool
	response []byte
}

// attempt is one call of a caller at one front end.
type attempt struct {
	key  rpcapi.ClaimKey
	body byte
	id   rpcapi.ClaimID
	vm   *simVM
	said string // what the caller was told; empty while it waits
	got  []byte
	sent bool
}

// vmFaults draws the faults of one VM's store calls.
type vmFaults struct {
	world    *world
	pauseNow func()
}

func (f *vmFaults) pause()             { f.pauseNow() }
func (f *vmFaults) delay(write func()) { f.world.delayed = append(f.world.delayed, write) }

func (f *vmFaults) writeFault() writeFault {
	w := f.world
	switch {
	case w.calm:
		return writeApplied
	case w.down:
		return writeUnavailable
	case w.off == claimBeforeStored && w.chance(0.2):
		return writePretended
	case w.chance(w.fault):
		return writeFault(1 + w.rng.IntN(int(writeDelayed)))
	}
	return writeApplied
}

func (f *vmFaults) readRevision(low int64) int64 {
	w := f.world
	switch {
	case w.calm:
		return w.store.revision
	case w.down:
		return -1
	case w.chance(w.fault):
		return max(0, w.store.revision-int64(w.rng.IntN(12)))
	}
	return w.store.revision
}

// await waits for a reply. A false result is a lost reply or a dead owner.
func (w *world) await(call *Call, pause func()) (rpcapi.ClaimReply, bool) {
	for range awaitPauses {
		select {
		case <-call.Done():
			return call.Reply(), w.calm || !w.chance(w.fault/2)
		default:
			pause()
		}
	}
	return rpcapi.ClaimReply{}, false
}

// end repeats an outcome or release at any VM until it is accepted.
func (w *world) end(pause func(), ask func(shard *Shard) *Call) {
	for range endTries {
		reply, ok := w.await(ask(w.pickVM().shard), pause)
		if ok && (reply.Err == nil || errs.Is(reply.Err, errs.Conflict)) {
			return
		}
		pause()
	}
}

func (w *world) newAttempt() {
	living := w.living()
	a := &attempt{vm: living[w.rng.IntN(len(living))]}
	a.key = rpcapi.ClaimKey{Organisation: "o", Kind: "k", Key: fmt.Sprint(w.rng.IntN(keysPerRun))}
	if w.chance(0.1) {
		a.body = 1
	}
	w.attempts = append(w.attempts, a)
	a.id = rpcapi.ClaimID{Holder: a.vm.holder, Number: uint64(len(w.attempts))}
	a.vm.actors = append(a.vm.actors, newActor(func(pause func()) { w.serve(a, pause) }))
}

// serve is the front end's part of one call.
func (w *world) serve(a *attempt, pause func()) {
	pause()
	reply, found := w.claim(a, pause)
	switch {
	case w.off == dispatchOnError && !found:
		w.dispatch(a, pause)
	case !found:
		a.say("not_run")
		w.release(a, pause)
	case reply.State == rpcapi.ClaimGranted && w.chance(0.15):
		a.say("not_run")
		w.release(a, pause)
	case reply.State == rpcapi.ClaimGranted:
		w.dispatch(a, pause)
	case reply.State == rpcapi.ClaimFinished:
		a.got = reply.Response.Body
		a.say("answer")
	case reply.State == rpcapi.ClaimRunning && w.off == repeatInProgress:
		w.dispatch(a, pause)
	default:
		a.say(string(reply.State))
	}
}

func (a *attempt) say(what string) { a.said = what }

func (w *world) claim(a *attempt, pause func()) (rpcapi.ClaimReply, bool) {
	request := rpcapi.ClaimRequest{Key: a.key, ID: a.id, BodyHash: [32]byte{a.body}}
	for range claimTries {
		reply, ok := w.await(w.pickVM().shard.Claim(request), pause)
		if ok && reply.Err == nil {
			return reply, true
		}
		pause()
	}
	return rpcapi.ClaimReply{}, false
}

func (w *world) release(a *attempt, pause func()) {
	request := rpcapi.ReleaseClaimRequest{Key: a.key, ID: a.id}
	w.end(pause, func(shard *Shard) *Call { return shard.Release(request) })
}

func (w *world) outcome(a *attempt, pause func(), unknown bool, body []byte) {
	request := rpcapi.OutcomeRequest{
		Key: a.key, ID: a.id, Unknown: unknown, Response: rpcapi.StoredResponse{Status: 200, Body: body},
	}
	w.end(pause, func(shard *Shard) *Call { return shard.Outcome(request) })
}

func (w *world) dispatch(a *attempt, pause func()) {
	pause()
	j := &job{attempt: a, lost: !w.calm && w.chance(0.1)}
	a.sent = true
	w.jobs = append(w.jobs, j)
	if w.off == releaseAfterSend && w.chance(0.3) {
		w.release(a, pause)
	}
	patience := 5 + w.rng.IntN(60)
	for ; patience > 0 && !j.ran; patience-- {
		pause()
	}
	if !j.ran {
		a.say("unknown")
		w.outcome(a, pause, true, nil)
		for tries := 0; tries < awaitPauses && !j.ran; tries++ {
			pause()
		}
	}
	if j.ran {
		w.answer(a, j, pause)
	}
}

// answer stores the outcome before or after the caller gets it.
func (w *world) answer(a *attempt, j *job, pause func()) {
	before := w.chance(0.5)
	if before {
		w.outcome(a, pause, false, j.response)
	}
	if a.said == "" {
		a.got = j.response
		a.say("answer")
	}
	if !before {
		w.outcome(a, pause, false, j.response)
	}
}
