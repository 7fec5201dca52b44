package replay

import (
	"fmt"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Sizes of a synthetic target. The design page states no slots and no speed:
// these are those of a small engine, chosen so that the slots hold far fewer
// adapters than are in use.
const (
	syntheticSlots       = 8
	syntheticConcurrency = 16
	serviceConcurrency   = 16
	serviceTime          = 60 * time.Millisecond
	baseModel            = "base"
)

// syntheticRule gives a step of 36 ms with a full batch, close to the 39 ms
// between tokens that the design page states, and 20 ms for a prompt of 400 tokens.
var syntheticRule = EngineRule{
	Base: 20 * time.Millisecond, PerSequence: time.Millisecond, PerPrompt: 50 * time.Microsecond,
	PromptChunk: 512, BlockTokens: 64, PrefixBlocks: 512,
}

// profile is a deployment of the design page with the load of its generator.
type profile struct {
	deployment Deployment
	kinds      []syntheticKind
	quietLoad  float64 // of the runners' capacity outside of crests
	crestLoad  float64 // of the runners' capacity within crests
}

// syntheticKind is one kind of request of every organisation.
type syntheticKind struct {
	name       string
	weight     float64 // part of the arrivals
	prompt     [2]int  // tokens, least and most
	output     [2]int  // tokens, least and most
	deadline   time.Duration
	worth      float64
	service    bool
	repeatable bool
	long       bool
}

// Names of the synthetic deployments.
const (
	Baltzips = "baltzips"
	Jegue    = "jegue"
)

// Deployments lists the names of the synthetic deployments.
func Deployments() []string { return []string{Baltzips, Jegue} }

// Surroundings returns the delays and the engine rule of a synthetic deployment,
// for a trace that was recorded in one like it.
func Surroundings(name string) (Deployment, *errs.Error) {
	p, failure := profileOf(name)
	return p.deployment, failure
}

func profileOf(name string) (profile, *errs.Error) {
	switch name {
	case Baltzips:
		return baltzips(), nil
	case Jegue:
		return jegue(), nil
	}
	return profile{}, errs.New(errs.InvalidRequest, "unknown deployment "+name)
}

// runners returns perCentre targets in each data centre, one of them a service.
func targetsOf(centres []string, runners int, application string) ([]model.Target, map[string]string) {
	var targets []model.Target
	regions := map[string]string{}
	for _, centre := range centres {
		regions[centre] = centre
		for i := range runners {
			targets = append(targets, model.Target{
				Name: fmt.Sprintf("%s-runner-%d", centre, i), Class: model.ClassRunner, DataCentre: centre, Region: centre,
				BaseModel: baseModel, Slots: syntheticSlots, Concurrency: syntheticConcurrency, ChecksFencing: true,
			})
		}
		targets = append(targets, model.Target{
			Name: centre + "-service", Class: model.ClassService, DataCentre: centre, Region: centre,
			Application: application, Concurrency: serviceConcurrency,
		})
	}
	return targets, regions
}

func baltzips() profile {
	targets, regions := targetsOf([]string{"riga", "kurzeme", "latgale"}, 2, "counter")
	return profile{
		deployment: Deployment{
			Name: Baltzips, Targets: targets, Regions: regions, GroupsPerPool: 1, LoadRate: 2,
			Shares:     map[string]float64{"seams": 5, "zippers": 3, "hems": 2},
			LocalDelay: 500 * time.Microsecond, RegionDelay: 12 * time.Millisecond, ClientDelay: time.Millisecond,
			ServiceTime: serviceTime, Engine: syntheticRule,
		},
		quietLoad: 0.25, crestLoad: 2.0,
		kinds: []syntheticKind{
			{name: "quote", weight: 0.64, prompt: [2]int{150, 700}, output: [2]int{30, 110}, deadline: 5 * time.Second, worth: 3, repeatable: true},
			{name: "lookup-note", weight: 0.20, prompt: [2]int{100, 400}, output: [2]int{20, 60}, deadline: 8 * time.Second, worth: 1, repeatable: true},
			{name: "write-up", weight: 0.01, prompt: [2]int{400, 1500}, output: [2]int{900, 1600}, deadline: 80 * time.Second, worth: 4, repeatable: true, long: true},
			{name: "repair-entry", weight: 0.05, deadline: 4 * time.Second, worth: 5, service: true},
			{name: "stock", weight: 0.10, deadline: 2 * time.Second, worth: 1, service: true, repeatable: true},
		},
	}
}

func jegue() profile {
	targets, regions := targetsOf([]string{"sertao", "litoral", "agreste"}, 5, "rides")
	return profile{
		deployment: Deployment{
			Name: Jegue, Targets: targets, Regions: regions, GroupsPerPool: 1, LoadRate: 4,
			Shares:     map[string]float64{"trilha": 4, "carona": 4, "feira": 2},
			LocalDelay: 1500 * time.Microsecond, RegionDelay: 12 * time.Millisecond, ClientDelay: 3 * time.Millisecond,
			ServiceTime: serviceTime, Engine: syntheticRule,
		},
		quietLoad: 0.25, crestLoad: 2.0,
		kinds: []syntheticKind{
			{name: "trail-question", weight: 0.50, prompt: [2]int{100, 600}, output: [2]int{40, 120}, deadline: 5 * time.Second, worth: 2, repeatable: true},
			{name: "ride-summary", weight: 0.30, prompt: [2]int{200, 900}, output: [2]int{20, 80}, deadline: 8 * time.Second, worth: 1, repeatable: true},
			{name: "itinerary", weight: 0.01, prompt: [2]int{300, 1200}, output: [2]int{900, 1600}, deadline: 80 * time.Second, worth: 6, repeatable: true, long: true},
			{name: "token-payment", weight: 0.07, deadline: 4 * time.Second, worth: 6, service: true},
			{name: "booking", weight: 0.07, deadline: 4 * time.Second, worth: 5, service: true},
			{name: "schedule", weight: 0.05, deadline: 2 * time.Second, worth: 1, service: true, repeatable: true},
		},
	}
}

// RepeatableKinds and the capacity follow from the profile.
func (p *profile) complete() {
	p.deployment.RepeatableKinds = map[string]bool{}
	for org := range p.deployment.Shares {
		for _, k := range p.kinds {
			p.deployment.RepeatableKinds[org+"/"+k.name] = k.repeatable
		}
	}
}

// meanWork is the mean least engine time of one arrival.
func (p *profile) meanWork() time.Duration {
	rule := p.deployment.Engine
	var sum float64
	for _, k := range p.kinds {
		if k.service {
			continue
		}
		tokens := float64(k.output[0]+k.output[1]) / 2
		prompt := float64(k.prompt[0]+k.prompt[1]) / 2
		sum += k.weight * (tokens*float64(tokenWork(rule, syntheticConcurrency)) + prompt*float64(rule.PerPrompt))
	}
	return time.Duration(sum)
}

func (p *profile) runners() int {
	n := 0
	for _, t := range p.deployment.Targets {
		if t.Class == model.ClassRunner {
			n++
		}
	}
	return n
}
