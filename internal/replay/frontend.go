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
