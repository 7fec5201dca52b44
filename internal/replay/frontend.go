package replay

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/routing"
)

// Rules of the entry VM, as internal/frontend has them.
const (
	maxAttempts       = 3
	predictionWeight  = 0.1 // of the newest answer in the mean length
	predictionDefault = 100 // tokens, before the first answer of a kind
)

// request is one caller's request and what the caller saw of it.
type request struct {
	arrival  *Arrival
	at       time.Duration
	attempts []*attempt
	exclude  []string
	active   int
	lost     bool // an attempt ran on a target that restarted

	answeredAt time.Duration // at the caller, 0 before
	ok         bool          // whole answer
	code       errs.Code     // of the refusal or failure
	wait       time.Duration // from arrival to the start of the answering attempt on its target
	first      time.Duration // from arrival to the first token at the entry VM
	stalled    bool
	stall      time.Duration // time in a queue while no target of the group had the adapter
}

// attempt is one try to get an answer.
type attempt struct {
	id      model.RequestID
	request *request
	group   *groupSim
	tried   []string // groups that refused in a way that another group can help with
	permit  core.Permit
	sentAt  time.Duration
	job     *job
	stallAt time.Duration // -1: not waiting for a load
	ended   bool
}

// arrive takes a request at its entry VM.
func (w *world) arrive(arrival *Arrival) {
	r := &request{arrival: arrival, at: w.now}
	w.requests = append(w.requests, r)
	w.begin(r)
}

// begin starts an attempt.
func (w *world) begin(r *request) {
	a := &attempt{
		id: r.arrival.ID + model.RequestID("."+strconv.Itoa(len(r.attempts)+1)), request: r, stallAt: -1,
	}
	r.attempts = append(r.attempts, a)
	r.active++
	w.attempts[a.id] = a
	w.acquire(a)
}

// acquire sends the attempt to the best group that has not refused it.
func (w *world) acquire(a *attempt) {
	arrival := a.request.arrival
	for _, c := range w.rank(arrival) {
		if contains(a.tried, c.Group) {
			continue
		}
		g := w.groups[c.Group]
		a.group = g
		queued := core.RequestQueued{Request: w.coreRequest(a)}
		w.after(w.delay(arrival.DataCentre, g.info.DataCentre), func() {
			g.queued[a.id] = a
			w.startStall(a)
			g.apply(queued)
		})
		return
	}
	w.giveUp(a, errs.NotRun(errs.NoTarget, "no target group serves the request"))
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// rank orders the groups that serve the request by what the entry VM knows of
// them. The plain baseline knows no resident adapters: it takes the shortest
// queue, with the same cost of distance.
func (w *world) rank(arrival *Arrival) []routing.Candidate {
	var candidates []routing.Candidate
	for _, name := range w.groupNames {
		g := w.groups[name]
		if g.info.Class != arrival.Class || served(g.info.Class, g.info.BaseModel, g.info.Application) != arrival.Served {
			continue
		}
		v := w.views[arrival.DataCentre][name]
		candidates = append(candidates, routing.Candidate{
			Group: name, DataCentre: g.info.DataCentre, Region: g.info.Region, QueuedWork: v.wait,
			Resident:  v.resident[arrival.adapter()],
			NeedsLoad: arrival.Class == model.ClassRunner && !w.options.Baseline,
		})
	}
	local := model.VM{DataCentre: arrival.DataCentre, Region: w.deployment.Regions[arrival.DataCentre]}
	adapter := arrival.adapter().String()
	tiebreak := func(g string) uint64 { return xxhash.Sum64String(adapter + "|" + g) }
	return routing.Rank(candidates, local, routing.DefaultParams(), tiebreak)
}

func served(class model.TargetClass, baseModel, application string) string {
	if class == model.ClassService {
		return application
	}
	return baseModel
}

func (w *world) coreRequest(a *attempt) core.Request {
	arrival := a.request.arrival
	r := core.Request{
		ID: a.id, Organisation: arrival.Organisation, Adapter: arrival.adapter(), Kind: arrival.Kind,
		Class: arrival.Class, PromptTokens: arrival.PromptTokens, PrefixHashes: arrival.Prefix,
		Deadline: a.request.at + arrival.Deadline - w.now, Worth: arrival.Worth,
		Repeatable: w.repeatable(arrival), Holder: model.Holder{VM: "vm-" + arrival.DataCentre, Incarnation: 1},
		Exclude: a.request.exclude,
	}
	if arrival.Class == model.ClassService {
		r.Application = arrival.Served
		return r
	}
	r.BaseModel = arrival.Served
	r.PredictedTokens = w.predict(arrival)
	return r
}

func (w *world) repeatable(arrival *Arrival) bool {
	return w.deployment.RepeatableKinds[arrival.Organisation+"/"+arrival.Kind]
}

// predict returns the mean length of the kind's answers so far.
func (w *world) predict(arrival *Arrival) int {
	mean, known := w.lengths[arrival.Organisation+"/"+arrival.Kind]
	if !known {
		return predictionDefault
	}
	return max(1, int(math.Ceil(mean)))
}

func (w *world) learn(arrival *Arrival) {
	key := arrival.Organisation + "/" + arrival.Kind
	mean, known := w.lengths[key]
	if !known {
		mean = float64(arrival.OutputTokens)
	}
	w.lengths[key] = mean + predictionWeight*(float64(arrival.OutputTokens)-mean)
}

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
