package replay

import (
	"math"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Bounds on the values of a trace, so that a damaged one cannot make a run endless.
const (
	maxTime         = 24 * time.Hour
	maxTokens       = 1 << 20
	maxPrefixBlocks = 1 << 10
	maxTargets      = 10_000
	maxConcurrency  = 4096
	maxSlowFactor   = 1e3
	maxEngineTime   = time.Second
	maxServiceTime  = time.Hour
	maxNameBytes    = 64
	maxWorth        = 1e9
	maxShare        = 1e6
	minLoadRate     = 1e-3 // loads/s
	maxLoadRate     = 1e5  // loads/s
	minStep         = 10 * time.Microsecond
)

func (h *Header) validate() *errs.Error {
	switch {
	case h.Version != Version:
		return invalid("unknown version of the trace format")
	case h.Origin != OriginRecorded && h.Origin != OriginSynthetic:
		return invalid("origin must be recorded or synthetic")
	case !validTime(h.MeasureFrom):
		return invalid("measure_from_ns is out of bounds")
	}
	for _, p := range h.Peaks {
		if !validTime(p.From) || !validTime(p.To) || p.To <= p.From {
			return invalid("a peak is not an interval")
		}
	}
	return h.Deployment.validate()
}

func (d *Deployment) validate() *errs.Error {
	e := d.Engine
	switch {
	case !validName(d.Name):
		return invalid("the deployment's name must be 1 to 64 letters, digits and hyphens")
	case len(d.Targets) == 0 || len(d.Targets) > maxTargets:
		return invalid("number of targets is out of bounds")
	case !within(d.LoadRate, minLoadRate, maxLoadRate):
		return invalid("load_rate is out of bounds")
	case !validTime(d.LocalDelay) || !validTime(d.RegionDelay) || !validTime(d.ClientDelay):
		return invalid("a delay is out of bounds")
	case d.ServiceTime < minStep || d.ServiceTime > maxServiceTime:
		return invalid("service_time_ns is out of bounds")
	case e.Base < minStep || e.PerSequence < 0 || e.PerPrompt < 0 || max(e.Base, e.PerSequence, e.PerPrompt) > maxEngineTime:
		return invalid("a time of the engine rule is out of bounds")
	case e.PromptChunk < 1 || e.BlockTokens < 1 || e.PrefixBlocks < 0 || max(e.PromptChunk, e.BlockTokens, e.PrefixBlocks) > maxTokens:
		return invalid("a size of the engine rule is out of bounds")
	case d.GroupsPerPool < 0 || d.GroupsPerPool > maxTargets:
		return invalid("groups_per_pool is out of bounds")
	}
	if err := validShares(d.Shares); err != nil {
		return err
	}
	return d.validateTargets()
}

func (d *Deployment) validateTargets() *errs.Error {
	seen := map[string]bool{}
	for i := range d.Targets {
		t := &d.Targets[i]
		switch {
		case t.Name == "" || seen[t.Name]:
			return invalid("a target has no name of its own")
		case t.Class != model.ClassRunner && t.Class != model.ClassService:
			return invalid("a target has an unknown class")
		case t.Concurrency < 1 || t.Concurrency > maxConcurrency || t.Slots < 0 || t.Slots > maxConcurrency:
			return invalid("a target's concurrency or slots are out of bounds")
		case d.Regions[t.DataCentre] == "":
			return invalid("a target's data centre has no region")
		}
		seen[t.Name] = true
	}
	return nil
}

// validName reports whether a name can be part of a file name.
func validName(name string) bool {
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

func validShares(shares map[string]float64) *errs.Error {
	for _, share := range shares {
		if !within(share, 0, maxShare) {
			return invalid("a share is out of bounds")
		}
	}
	return nil
}

func validTime(t time.Duration) bool { return t >= 0 && t <= maxTime }

func within(v, low, high float64) bool { return !math.IsNaN(v) && v >= low && v <= high }

// validate checks a record against the deployment.
func (r *Record) validate(h *Header, targets map[string]bool) *errs.Error {
	if !validTime(r.At) {
		return invalid("at_ns is out of bounds")
	}
	if r.parts() != 1 {
		return invalid("a record must have exactly one part")
	}
	switch {
	case r.Arrival != nil:
		return r.Arrival.validate(&h.Deployment)
	case r.Configuration != nil:
		if rate := r.Configuration.LoadRate; rate != 0 && !within(rate, minLoadRate, maxLoadRate) {
			return invalid("load_rate is out of bounds")
		}
		return validShares(r.Configuration.Shares)
	}
	name, valid := r.fault()
	if !targets[name] {
		return invalid("the target is not in the header")
	}
	if !valid {
		return invalid("a value of the target event is out of bounds")
	}
	return nil
}

func (r *Record) parts() int {
	n := 0
	for _, set := range []bool{
		r.Arrival != nil, r.Slow != nil, r.Lag != nil, r.Restart != nil,
		r.FailLoads != nil, r.List != nil, r.Configuration != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// fault returns the target of a target event and whether its values are valid.
func (r *Record) fault() (target string, valid bool) {
	switch {
	case r.Slow != nil:
		return r.Slow.Target, within(r.Slow.Factor, 1, maxSlowFactor) && validTime(r.Slow.Length)
	case r.Lag != nil:
		return r.Lag.Target, validTime(r.Lag.Lag)
	case r.Restart != nil:
		return r.Restart.Target, true
	case r.FailLoads != nil:
		return r.FailLoads.Target, r.FailLoads.Count >= 0
	}
	return r.List.Target, true
}

func (a *Arrival) validate(d *Deployment) *errs.Error {
	switch {
	case a.ID == "" || a.Organisation == "" || a.Kind == "":
		return invalid("an arrival needs an id, an organisation and a kind")
	case a.Class != model.ClassRunner && a.Class != model.ClassService:
		return invalid("the class is unknown")
	case a.Class == model.ClassRunner && (a.Adapter == "" || a.Version == "" || a.OutputTokens < 1):
		return invalid("a runner's arrival needs an adapter, a version and output tokens")
	case a.PromptTokens < 0 || a.PromptTokens > maxTokens || a.OutputTokens < 0 || a.OutputTokens > maxTokens:
		return invalid("a number of tokens is out of bounds")
	case len(a.Prefix) > maxPrefixBlocks:
		return invalid("there are too many prefix blocks")
	case a.Deadline <= 0 || a.Deadline > maxTime || !within(a.Worth, 0, maxWorth):
		return invalid("the deadline or the worth is out of bounds")
	case d.Regions[a.DataCentre] == "":
		return invalid("the data centre has no region")
	}
	return nil
}
