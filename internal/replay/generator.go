package replay

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Shape of the synthetic load.
const (
	adapters      = 3000
	zipfExponent  = 2.2
	zipfOffset    = 4.0 // flattens the head: the first adapter draws about a quarter
	warmUp        = 40 * time.Second
	measuredTime  = 300 * time.Second
	shortestCrest = 10 * time.Second
	longestCrest  = 30 * time.Second
	crestPause    = 90 * time.Second // mean time between crests
	shiftInterval = 20 * time.Second // between changes of popularity
	shiftSwaps    = 3                // ranks that change places at a shift
	shiftHead     = 30               // of this many most popular ranks
	prefixFamily  = 4                // prefix families of an adapter
	prefixBlocks  = 3                // shared prefix blocks of a family
)

type generator struct {
	profile profile
	rng     *rand.Rand
	zipf    *rand.Zipf
	byRank  []int // adapter of each rank of popularity
	orgs    []string
	trace   *Trace
}

// Generate returns a synthetic trace of a deployment of the design page. Equal
// seeds give equal traces.
func Generate(deployment string, seed uint64) (*Trace, *errs.Error) {
	p, err := profileOf(deployment)
	if err != nil {
		return nil, err
	}
	p.complete()
	rng := rand.New(rand.NewPCG(seed, uint64(len(deployment))))
	g := &generator{
		profile: p, rng: rng, zipf: rand.NewZipf(rng, zipfExponent, zipfOffset, adapters-1),
		byRank: rng.Perm(adapters), orgs: slices.Sorted(maps.Keys(p.deployment.Shares)),
	}
	g.trace = &Trace{Header: Header{
		Version: Version, Deployment: p.deployment, Origin: OriginSynthetic, Seed: seed,
		MeasureFrom: warmUp, Peaks: g.crests(),
	}}
	g.arrivals()
	return g.trace, nil
}

// crests draws the times of peak demand.
func (g *generator) crests() []Interval {
	var crests []Interval
	at := warmUp + time.Duration(g.rng.Float64()*float64(crestPause)/2)
	for {
		length := shortestCrest + time.Duration(g.rng.Float64()*float64(longestCrest-shortestCrest))
		if at+length > warmUp+measuredTime {
			return crests
		}
		crests = append(crests, Interval{From: at, To: at + length})
		at += length + time.Duration((0.5+g.rng.Float64())*float64(crestPause))
	}
}

// arrivals draws a Poisson process whose rate follows the crests.
func (g *generator) arrivals() {
	perLoad := float64(g.profile.runners()) / g.profile.meanWork().Seconds()
	nextShift := shiftInterval
	at := time.Duration(0)
	for number := 0; ; number++ {
		load := g.profile.quietLoad
		if g.inCrest(at) {
			load = g.profile.crestLoad
		}
		at += time.Duration(g.rng.ExpFloat64() / (load * perLoad) * float64(time.Second))
		if at > warmUp+measuredTime {
			return
		}
		for at > nextShift {
			g.shift()
			nextShift += shiftInterval
		}
		g.trace.Records = append(g.trace.Records, Record{At: at, Arrival: g.arrival(number)})
	}
}

func (g *generator) inCrest(at time.Duration) bool {
	for _, c := range g.trace.Header.Peaks {
		if c.contains(at) {
			return true
		}
	}
	return false
}

// shift lets some of the popular adapters change places with any others.
func (g *generator) shift() {
	for range shiftSwaps {
		i, j := g.rng.IntN(shiftHead), g.rng.IntN(adapters)
		g.byRank[i], g.byRank[j] = g.byRank[j], g.byRank[i]
	}
}

func (g *generator) kind() syntheticKind {
	x := g.rng.Float64()
	for _, k := range g.profile.kinds {
		if x < k.weight {
			return k
		}
		x -= k.weight
	}
	return g.profile.kinds[0]
}

func (g *generator) between(bounds [2]int) int { return bounds[0] + g.rng.IntN(bounds[1]-bounds[0]+1) }

func (g *generator) arrival(number int) *Arrival {
	k := g.kind()
	targets := g.profile.deployment.Targets
	a := &Arrival{
		ID: model.RequestID(fmt.Sprintf("r%06d", number)), Kind: k.name, Class: model.ClassRunner, Served: baseModel,
		Deadline: k.deadline, Worth: k.worth, Long: k.long, DataCentre: targets[g.rng.IntN(len(targets))].DataCentre,
	}
	adapter := g.byRank[g.zipf.Uint64()]
	a.Organisation = g.orgs[adapter%len(g.orgs)]
	if k.service {
		a.Class, a.Served = model.ClassService, g.application()
		return a
	}
	a.Adapter, a.Version = fmt.Sprintf("adapter-%04d", adapter), "1"
	a.PromptTokens, a.OutputTokens = g.between(k.prompt), g.between(k.output)
	family := uint64(adapter*prefixFamily + g.rng.IntN(prefixFamily))
	for i := range min(prefixBlocks, a.PromptTokens/g.profile.deployment.Engine.BlockTokens) {
		a.Prefix = append(a.Prefix, family<<8|uint64(i)+1)
	}
	return a
}

func (g *generator) application() string {
	for _, t := range g.profile.deployment.Targets {
		if t.Class == model.ClassService {
			return t.Application
		}
	}
	return ""
}

// Stragglers of measure 4.
const (
	stragglerPart   = 9 // one target in nine
	stragglerFactor = 6.0
	stragglerSpell  = 15 * time.Second
	stragglerLag    = 5 * time.Second
)

// withStragglers returns the trace with one target in nine slow at any time of
// the measured part, each for a spell, and with lagging load reports. Only
// runners are made slow: a slow plain service would not show in the latencies.
func (t *Trace) withStragglers(seed uint64) *Trace {
	rng := rand.New(rand.NewPCG(seed, stragglerPart))
	var targets []model.Target
	for _, target := range t.Header.Deployment.Targets {
		if target.Class == model.ClassRunner {
			targets = append(targets, target)
		}
	}
	count := min(len(targets), max(1, len(t.Header.Deployment.Targets)/stragglerPart))
	var events []Record
	for at := t.Header.MeasureFrom; at < t.end(); at += stragglerSpell {
		for _, i := range rng.Perm(len(targets))[:count] {
			name := targets[i].Name
			events = append(events,
				Record{At: at, Slow: &Slow{Target: name, Factor: stragglerFactor, Length: stragglerSpell}},
				Record{At: at, Lag: &Lag{Target: name, Lag: stragglerLag}},
				Record{At: at + stragglerSpell, Lag: &Lag{Target: name}})
		}
	}
	out := &Trace{Header: t.Header, Records: append(append([]Record(nil), t.Records...), events...)}
	slices.SortStableFunc(out.Records, func(a, b Record) int { return int(a.At - b.At) })
	return out
}
