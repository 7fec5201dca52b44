package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cicadaslip/internal/credentials"
	"cicadaslip/internal/fleet"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	Invalid       Kind = "invalid"       // a daemon leaves the part out, or no request with it can be served
	NeverMatches  Kind = "never_matches" // the part has no effect
	Contradiction Kind = "contradiction" // no target or caller can keep both limits
)

// Fault is one fault of a configuration.
type Fault struct {
	Kind    Kind   `json:"kind"`
	Part    string `json:"part"` // route, service or organisation, empty if the message names it
	Message string `json:"message"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Part == "" {
		return string(f.Kind) + ": " + f.Message
	}
	return string(f.Kind) + ": " + f.Part + ": " + f.Message
}

// checker collects faults.
type checker struct{ faults []Fault }

// addIf adds a fault if a condition holds.
func (c *checker) addIf(condition bool, kind Kind, part, format string, args ...any) {
	if condition {
		c.faults = append(c.faults, Fault{kind, part, fmt.Sprintf(format, args...)})
	}
}

// Faults returns the faults of a configuration.
func Faults(config *fleet.Config) []Fault {
	c := &checker{faults: []Fault{}}
	for _, err := range config.Ignored {
		c.addIf(true, Invalid, "", "%s", err)
	}
	c.addIf(config.Limits.HeaderBytes > fleet.MaxHeaderBytes, Contradiction, "", "max_header_bytes is above %d, beyond which headers are refused", fleet.MaxHeaderBytes)
	c.checkRoutes(config)
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		c.checkService(config, config.Services[name])
	}
	c.checkOrganisations(config)
	return c.faults
}

func (c *checker) checkRoutes(config *fleet.Config) {
	names, matches := map[string]bool{}, map[string]string{}
	for i := range config.Routes {
		r := &config.Routes[i]
		part := "route " + r.Name
		c.addIf(names[r.Name], NeverMatches, part, "the name is given twice")
		names[r.Name] = true
		key := strings.ToLower(r.Host) + r.PathPrefix
		earlier, shadowed := matches[key]
		c.addIf(shadowed, NeverMatches, part, "route %s comes first and has the same host and path", earlier)
		if !shadowed {
			matches[key] = r.Name
		}
		c.addIf(!strings.HasPrefix(r.PathPrefix, "/"), NeverMatches, part, "paths begin with a slash, %q does not", r.PathPrefix)
		known := r.Kind == fleet.Idempotent || r.Kind == fleet.NonIdempotent || r.Kind == fleet.Streaming
		c.addIf(!known, Invalid, part, "the kind %q is unknown", r.Kind)
		c.addIf(r.Timeout > 0 && r.LatencyObjective > r.Timeout, Contradiction, part, "the latency objective of %v is above the timeout of %v", r.LatencyObjective, r.Timeout)
		c.addIf(known && r.MaxAttempts > 1 && !r.Repeatable(), NeverMatches, part, "max_attempts is %d, but requests may not be repeated", r.MaxAttempts)
		total := 0.0
		for _, b := range r.Backends {
			total += b.Weight
			_, found := config.Services[b.Service]
			c.addIf(!found, Invalid, part, "there is no service %s", b.Service)
			c.addIf(b.Weight == 0 && len(r.Backends) > 1, NeverMatches, part, "service %s has the weight 0", b.Service)
		}
		c.addIf(total == 0, Contradiction, part, "all weights are 0")
	}
}

func (c *checker) checkService(config *fleet.Config, s fleet.Service) {
	part := "service " + s.Name
	used := slices.ContainsFunc(config.Routes, func(r fleet.Route) bool {
		return slices.ContainsFunc(r.Backends, func(b fleet.Backend) bool { return b.Service == s.Name })
	})
	c.addIf(!used, NeverMatches, part, "no route names it")
	e := s.Engine
	if e == nil {
		return
	}
	c.addIf(e.Slots == 0, Contradiction, part, "the engine has no slot for requests")
	c.addIf(e.CacheTokens == 0, Contradiction, part, "the engine has no room for tokens")
	for _, m := range e.Models {
		c.addIf(m.WeightsMB > e.WeightsMB, Contradiction, part, "model %s takes %v MB, an engine has %v", m.Name, m.WeightsMB, e.WeightsMB)
		noRoom := m.Adapters > 0 && m.WeightsMB <= e.WeightsMB && m.WeightsMB+m.AdapterMB > e.WeightsMB
		c.addIf(noRoom, Contradiction, part, "model %s and one adapter take %v MB, an engine has %v", m.Name, m.WeightsMB+m.AdapterMB, e.WeightsMB)
		c.addIf(m.Adapters > 0 && e.AdapterSlots == 0, Contradiction, part, "model %s has adapters, an engine has no slot for one", m.Name)
	}
}

func (c *checker) checkOrganisations(config *fleet.Config) {
	cache := 0
	for _, s := range config.Services {
		if s.Engine != nil {
			cache = max(cache, s.Engine.CacheTokens)
		}
	}
	for _, o := range config.Organisations {
		part, q := "organisation "+o.Name, o.Quota
		c.addIf(len(o.Keys) == 0, NeverMatches, part, "it has no key")
		seen := map[credentials.Digest]bool{}
		for _, key := range o.Keys {
			c.addIf(seen[key], NeverMatches, part, "a key is given twice")
			seen[key] = true
		}
		limited := q.PerSecond > 0
		c.addIf(limited && q.InTokens && q.PerSecond+q.Burst < float64(q.PlainTokens), Contradiction, part,
			"a plain request counts as %d tokens, the quota allows at most %v at once", q.PlainTokens, q.PerSecond+q.Burst)
		c.addIf(limited && !q.InTokens && q.PerSecond+q.Burst < 1, Contradiction, part, "the quota never allows one request")
		c.addIf(limited && q.InTokens && cache > 0 && q.PlainTokens > cache, Contradiction, part,
			"a plain request counts as %d tokens, more than an engine's %d", q.PlainTokens, cache)
		c.addIf(!limited && q.Burst > 0, NeverMatches, part, "there is a burst, but no rate")
	}
	closed := config.NeedsKeys && !slices.ContainsFunc(config.Organisations, func(o fleet.Organisation) bool { return len(o.Keys) > 0 })
	c.addIf(closed, Contradiction, "", "requests need a key, and no organisation has one")
}

// Differences returns what a configuration changes of the one in force, nil if there is none.
func Differences(inForce, config *fleet.Config) []string {
	all := []string{}
	if inForce == nil {
		inForce = &fleet.Config{}
	}
	if config.Version <= inForce.Version {
		all = append(all, fmt.Sprintf("version %d is not above the one in force, %d, so it would be ignored", config.Version, inForce.Version))
	}
	if inForce.Limits != config.Limits {
		all = append(all, fmt.Sprintf("limits: %+v instead of %+v", config.Limits, inForce.Limits))
	}
	if inForce.NeedsKeys != config.NeedsKeys {
		all = append(all, fmt.Sprintf("requests need keys: %v instead of %v", config.NeedsKeys, inForce.NeedsKeys))
	}
	all = append(all, compare("route", byName(inForce.Routes, func(r fleet.Route) string { return r.Name }), byName(config.Routes, func(r fleet.Route) string { return r.Name }))...)
	all = append(all, compare("service", inForce.Services, config.Services)...)
	name := func(o fleet.Organisation) string { return o.Name }
	return append(all, compare("organisation", byName(inForce.Organisations, name), byName(config.Organisations, name))...)
}

func byName[T any](parts []T, name func(T) string) map[string]T {
	all := map[string]T{}
	for _, p := range parts {
		all[name(p)] = p
	}
	return all
}

// compare describes the differences between the parts of one kind. It names no values, which may
// be keys.
func compare[T any](kind string, before, after map[string]T) []string {
	var all []string
	names := maps.Clone(before)
	if names == nil {
		names = map[string]T{}
	}
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, had := before[name]
		now, has := after[name]
		switch {
		case !had:
			all = append(all, kind+" "+name+": added")
		case !has:
			all = append(all, kind+" "+name+": removed")
		default:
			if fields := changedFields(old, now); len(fields) > 0 {
				all = append(all, kind+" "+name+": changed: "+strings.Join(fields, ", "))
			}
		}
	}
	return all
}
