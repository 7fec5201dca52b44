package replay

import (
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// refused takes a refusal of a group's owner.
func (w *world) refused(a *attempt, err *errs.Error) {
	if a.ended {
		return
	}
	switch err.Code {
	case errs.NotOwner, errs.NoTarget, errs.Draining, errs.AdapterLoadFailed:
		a.tried = append(a.tried, a.group.info.Name)
		w.acquire(a)
		return
	}
	w.giveUp(a, err)
}

// giveUp ends an attempt that got no permit.
func (w *world) giveUp(a *attempt, err *errs.Error) {
	w.end(a)
	if a.request.active > 0 || a.request.answeredAt != 0 {
		return
	}
	if a.request.lost {
		err = err.WithRan(errs.RanUnknown) // an earlier attempt ran
	}
	w.answer(a.request, false, err)
}

func (w *world) end(a *attempt) {
	a.ended = true
	a.request.active--
	delete(w.attempts, a.id)
}

// dispatch sends an attempt to the target of its permit.
func (w *world) dispatch(a *attempt, permit core.Permit) {
	a.permit = permit
	if a.ended {
		w.release(a, core.PermitReleased{Outcome: core.OutcomeNotSent})
		return
	}
	a.sentAt = w.now
	t := w.targets[permit.Target.Name]
	w.after(w.delay(a.request.arrival.DataCentre, t.info.DataCentre), func() {
		if a.ended {
			return // cancelled on the way
		}
		if !w.checker.started(t, a) {
			w.failed(a, t, core.OutcomeNotSent)
			return
		}
		t.start(a)
	})
}

// release returns a permit to its group's owner.
func (w *world) release(a *attempt, release core.PermitReleased) {
	release.ID, release.Target = a.permit.Request, a.permit.Target.Name
	release.Organisation, release.Kind = a.permit.Organisation, a.permit.Kind
	g := a.group
	w.after(g.delayTo(a), func() { g.apply(release) })
}

// completed takes the whole answer of a target.
func (w *world) completed(j *job, t *target) {
	a := j.attempt
	back := w.delay(t.info.DataCentre, a.request.arrival.DataCentre)
	w.after(back, func() {
		if a.ended {
			return // another attempt was first
		}
		w.end(a)
		w.released(a, j, back)
		if a.request.answeredAt != 0 {
			return
		}
		a.request.wait = j.startedAt - a.request.at
		a.request.first = j.firstAt + back - a.request.at
		w.learn(a.request.arrival)
		w.answer(a.request, true, nil)
		w.cancelOthers(a)
	})
}

func (w *world) released(a *attempt, j *job, back time.Duration) {
	arrival := a.request.arrival
	release := core.PermitReleased{
		Outcome: core.OutcomeDone,
		Usage:   core.Usage{PromptTokens: arrival.PromptTokens, GeneratedTokens: arrival.OutputTokens},
	}
	if arrival.Class == model.ClassRunner {
		release.FirstToken = j.firstAt + back - a.sentAt
		if arrival.OutputTokens > 1 {
			release.TokenGap = (j.lastAt - j.firstAt) / time.Duration(arrival.OutputTokens-1)
		}
	}
	w.release(a, release)
}

// cancelOthers ends the other attempts of an answered request.
func (w *world) cancelOthers(winner *attempt) {
	for _, a := range winner.request.attempts {
		if a.ended {
			continue
		}
		w.end(a)
		if a.sentAt == 0 {
			g := a.group
			w.after(g.delayTo(a), func() {
				if g.queued[a.id] != nil {
					delete(g.queued, a.id)
					w.endStall(a)
					g.apply(core.RequestCancelled{ID: a.id})
				}
			})
			continue
		}
		t := w.targets[a.permit.Target.Name]
		w.after(w.delay(a.request.arrival.DataCentre, t.info.DataCentre), func() {
			t.cancel(a.id)
			w.after(w.delay(t.info.DataCentre, a.request.arrival.DataCentre), func() {
				w.release(a, core.PermitReleased{Outcome: core.OutcomeCancelled})
			})
		})
	}
}

// failed takes the loss of an attempt on a target that restarted: what it ran
// is lost, and it refuses requests for adapters that it does not have any more.
func (w *world) failed(a *attempt, t *target, outcome core.Outcome) {
	w.after(w.delay(t.info.DataCentre, a.request.arrival.DataCentre), func() {
		if a.ended {
			return
		}
		w.end(a)
		w.release(a, core.PermitReleased{Outcome: outcome})
		r := a.request
		r.exclude = append(r.exclude, t.info.Name)
		r.lost = r.lost || outcome == core.OutcomeFailed
		ran := errs.RanNo
		if r.lost {
			ran = errs.RanUnknown
		}
		mayRepeat := outcome == core.OutcomeNotSent || w.repeatable(r.arrival)
		switch {
		case r.answeredAt != 0 || r.active > 0:
		case mayRepeat && len(r.attempts) < maxAttempts && w.now < r.at+r.arrival.Deadline:
			w.begin(r)
		default:
			w.answer(r, false, errs.New(errs.TargetUnavailable, "the target restarted").WithRan(ran))
		}
	})
}

// hedge starts a second attempt beside one on a slow target.
func (w *world) hedge(a *attempt, slow string) {
	r := a.request
	if a.ended || r.answeredAt != 0 || r.active != 1 || len(r.attempts) >= maxAttempts || !w.repeatable(r.arrival) {
		return
	}
	w.hedges++
	r.exclude = append(r.exclude, slow)
	w.begin(r)
}

// answer gives the caller its answer or its error.
func (w *world) answer(r *request, ok bool, err *errs.Error) {
	r.ok, r.answeredAt = ok, w.now+w.deployment.ClientDelay
	if err != nil {
		r.code = err.Code
	}
	w.checker.answered(r, err)
}
