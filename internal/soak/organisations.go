package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"cicadaslip/internal/standin/engine"
)

// Organisations of runs with Options.HardLoad.
const (
	unlimitedOrganisation = "unlimited"
	largeOrganisation     = "large"
	smallOrganisation     = "small" // sends several times its quota
)

const (
	// keyPrefix begins all keys. It must appear in no request to a target, answer or log.
	keyPrefix  = "sk-soak-"
	unknownKey = keyPrefix + "unknown"
	// keyBound is config_apply_ms of docs/hard-load.md.
	keyBound = 4 * time.Second
	// plainTokens are counted for a request that states no tokens.
	plainTokens = 200
	// quotaPause is the pause of a caller after 429.
	quotaPause = 200 * time.Millisecond
)

var organisationNames = []string{unlimitedOrganisation, largeOrganisation, smallOrganisation}

// rates are the quotas per second that an organisation may get, the first one at the start. The
// smallest ones are far below what the callers send.
var rates = map[string][]float64{
	largeOrganisation: {60_000, 30_000, 6_000},
	smallOrganisation: {2_900, 1_500, 6_000},
}

// organisations is what configurations say of organisations. The lock of the run protects it.
type organisations struct {
	keys      map[string][]string // by organisation; the first one is never withdrawn
	rates     map[string]float64  // by organisation; the burst is the rate of one second
	lives     map[string]*keyLife
	withdrawn []string
	versions  []organisationVersion // of configurations, from version 1 on
}

// keyLife tells which configurations contain a key.
type keyLife struct {
	organisation string
	added        int // first version with the key
	removed      int // first version without it again, 0 for none
}

// organisationVersion is one version of the configuration.
type organisationVersion struct {
	begun        time.Time // the store may have it from then on
	acknowledged time.Time // zero while the store has lost it
	rates        map[string]float64
}

func newOrganisations() *organisations {
	o := &organisations{keys: map[string][]string{}, rates: map[string]float64{}, lives: map[string]*keyLife{}}
	for _, name := range organisationNames {
		if all := rates[name]; len(all) > 0 {
			o.rates[name] = all[0]
		}
		o.addKey(name, 1)
		o.addKey(name, 1)
	}
	return o
}

// stableKey returns the key of an organisation that is never withdrawn.
func (o *organisations) stableKey(organisation string) string { return keyPrefix + organisation }

func (o *organisations) addKey(organisation string, version int) {
	key := o.stableKey(organisation)
	if len(o.keys[organisation]) > 0 {
		key = fmt.Sprintf("%s-%d", key, len(o.lives))
	}
	o.keys[organisation] = append(o.keys[organisation], key)
	o.lives[key] = &keyLife{organisation: organisation, added: version}
}

// replaceKey withdraws the newest key of an organisation, from a version on, and adds another one.
func (o *organisations) replaceKey(organisation string, version int) {
	keys := o.keys[organisation]
	old := keys[len(keys)-1]
	o.lives[old].removed = version
	o.keys[organisation], o.withdrawn = keys[:len(keys)-1], append(o.withdrawn, old)
	o.addKey(organisation, version)
}

// specs returns the organisations in the format of the configuration.
func (o *organisations) specs() []any {
	var all []any
	for i, name := range organisationNames {
		spec := map[string]any{
			"name": name, "api_keys": append([]string(nil), o.keys[name]...), "priority": i % 2,
			"unit": "token_stream", "plain_tokens": plainTokens,
		}
		if rate := o.rates[name]; rate > 0 {
			spec["rate_per_s"], spec["burst"] = rate, rate
		}
		all = append(all, spec)
	}
	return all
}

// begin records that a version is about to be written.
func (o *organisations) begin(now time.Time) {
	v := organisationVersion{begun: now, rates: map[string]float64{}}
	for name, rate := range o.rates {
		v.rates[name] = rate
	}
	o.versions = append(o.versions, v)
}

// acknowledge records that the store has the newest version, and with it all that older versions
// say.
func (o *organisations) acknowledge(now time.Time) {
	for i := range o.versions {
		if o.versions[i].acknowledged.IsZero() {
			o.versions[i].acknowledged = now
		}
	}
}

// lose records that the store may have lost any version.
func (o *organisations) lose() {
	for i := range o.versions {
		o.versions[i].acknowledged = time.Time{}
	}
}

// hardLoadFaults change keys and quotas.
var hardLoadFaults = []fault{
	{"keys", func(r *run, rng *rand.Rand) func() { r.changeOrganisations(rng, true, false); return nil }},
	{"keys", func(r *run, rng *rand.Rand) func() { r.changeOrganisations(rng, true, false); return nil }},
	{"quota", func(r *run, rng *rand.Rand) func() { r.changeOrganisations(rng, false, true); return nil }},
}

// changeOrganisations writes a configuration with another key, other quotas, or both.
func (r *run) changeOrganisations(rng *rand.Rand, keys, quotas bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if keys {
		r.organisations.replaceKey(organisationNames[rng.IntN(len(organisationNames))], r.config+1)
	}
	if quotas {
		for _, name := range []string{largeOrganisation, smallOrganisation} {
			r.organisations.rates[name] = rates[name][rng.IntN(len(rates[name]))]
		}
	}
	_ = r.configure() // cannot fail on a value of this package
}

// identify gives a request a key of an organisation, or sometimes a withdrawn one, an unknown one
// or none. Half of the requests claim the name of another organisation.
func (r *run) identify(q *outgoing, rng *rand.Rand, organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys, withdrawn := r.organisations.keys[organisation], r.organisations.withdrawn
	q.key = keys[rng.IntN(len(keys))]
	switch rng.IntN(20) {
	case 0, 1:
		if n := len(withdrawn); n > 0 {
			q.key = withdrawn[n-1-rng.IntN(min(n, 3))]
		}
	case 2:
		q.key = unknownKey
	case 3:
		q.key = ""
	}
	q.forged = ""
	if rng.IntN(2) == 0 {
		q.forged = organisationNames[rng.IntN(len(organisationNames))]
	}
}

// noteKey records what the store has of the key of a request when it is sent.
func (r *run) noteKey(a *answer, key string) {
	if !r.options.HardLoad {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a.key = key
	life := r.organisations.lives[key]
	if life == nil {
		return
	}
	a.keyAdded = r.organisations.versions[life.added-1].acknowledged
	if life.removed > 0 && life.removed <= len(r.organisations.versions) {
		a.keyRemoved = r.organisations.versions[life.removed-1].acknowledged
	}
}

// process is one start of a VM's process.
type process struct {
	vm    *vm
	start int
}

// seenConfig is a configuration that a process was seen to use.
type seenConfig struct {
	at      time.Time
	version int
}

// seenConfigs returns the configurations that processes were seen to use, by answers to probes.
// The caller holds the lock of the checker.
func (r *run) seenConfigs() map[process][]seenConfig {
	seen := map[process][]seenConfig{}
	for _, a := range r.checker.answers {
		if a.kind == kindProbe && a.status == http.StatusOK && a.start == a.end {
			p := process{a.vm, a.start}
			seen[p] = append(seen[p], seenConfig{a.done, a.config})
		}
	}
	return seen
}

// knew reports whether the process that answered a request was seen before to use a version or a
// later one.
func (a answer) knew(seen map[process][]seenConfig, version int) bool {
	if a.start != a.end {
		return false
	}
	for _, s := range seen[process{a.vm, a.start}] {
		if s.version >= version && s.at.Before(a.sent) {
			return true
		}
	}
	return false
}

// checkKeys checks that VMs accept no key that is unknown or withdrawn, refuse no valid one with
// 401, and pass on the name of the organisation and no key.
func (r *run) checkKeys() {
	if !r.options.HardLoad {
		return
	}
	arrivals := arrivalsByID(r.allTargets())
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	seen := r.seenConfigs()
	for _, a := range r.checker.answers {
		r.checkKey(a, len(arrivals[a.id]) > 0, seen)
		if strings.Contains(a.body, keyPrefix) {
			r.checker.fail("KEYS: the answer to %s %s contains a key", a.kind, a.id)
		}
		for _, at := range arrivals[a.id] {
			r.checkForwarded(a, at.Header, at.target.Settings.ID)
		}
	}
	for _, t := range r.allTargets() {
		for _, run := range t.Runs() {
			if strings.Contains(run.URI+run.Body, keyPrefix) {
				r.checker.fail("KEYS: request %s to %s contains a key", run.ID, t.Settings.ID)
			}
		}
	}
	r.checkLogsForKeys()
}

// checkKey checks how a VM judged the key of a request. The caller holds the lock of the checker.
func (r *run) checkKey(a answer, arrived bool, seen map[process][]seenConfig) {
	if a.kind == kindProbe { // public
		if a.status == http.StatusUnauthorized {
			r.checker.fail("KEYS: %s to a public route got 401", a.id)
		}
		return
	}
	accepted := arrived || a.status == http.StatusOK || a.status == http.StatusTooManyRequests
	life := r.organisations.lives[a.key]
	if life == nil {
		if accepted {
			r.checker.fail("KEYS: %s %s with the key %q, which no configuration contains, was accepted by %s", a.kind, a.id, a.key, a.vm.name)
		}
		return
	}
	if accepted && life.removed > 0 && (a.knew(seen, life.removed) || r.keyOverdue(a, a.keyRemoved)) {
		r.checker.fail("KEYS: %s %s, sent to %s at %s, was accepted %v after the store had acknowledged configuration %d without its key; in use there: %t",
			a.kind, a.id, a.vm.name, a.sent.Format(clock), a.sent.Sub(a.keyRemoved), life.removed, a.knew(seen, life.removed))
	}
	valid := life.removed == 0 || a.done.Before(r.organisations.versions[life.removed-1].begun)
	if a.status == http.StatusUnauthorized && valid && (life.added == 1 || a.knew(seen, life.added) || r.keyOverdue(a, a.keyAdded)) {
		r.checker.fail("KEYS: %s %s, sent to %s at %s, got 401 with a valid key of configuration %d", a.kind, a.id, a.vm.name, a.sent.Format(clock), life.added)
	}
}

// keyOverdue reports whether a VM had to apply a change of keys to a request, by the time since the
// store had acknowledged it. A VM that is only cut off from the store learns it from the others.
func (r *run) keyOverdue(a answer, acknowledged time.Time) bool {
	switch {
	case acknowledged.IsZero():
		return false
	case r.overdue(a, acknowledged, keyBound):
		return true
	}
	from := acknowledged.Add(-stabilityWindow)
	if a.sent.Sub(acknowledged) <= keyBound+outerBound || len(r.storeTimeline.between(from, a.done)) > 0 {
		return false
	}
	reached := 0
	for _, v := range r.vms {
		if len(v.timeline.between(from, a.done, restarted, frozen)) > 0 {
			return false
		}
		if len(v.timeline.between(from, a.done)) == 0 {
			reached++
		}
	}
	return reached > 0
}

// checkForwarded checks the head of a request at a target. The caller holds the lock of the
// checker.
func (r *run) checkForwarded(a answer, header http.Header, target string) {
	for name, values := range header {
		if strings.Contains(strings.Join(values, " "), keyPrefix) || name == engine.KeyHeader {
			r.checker.fail("KEYS: %s %s reached %s with a key in %s", a.kind, a.id, target, name)
		}
	}
	named, life := header.Values(engine.OrganisationHeader), r.organisations.lives[a.key]
	right := len(named) == 1 && life != nil && named[0] == life.organisation
	if !right && (a.kind != kindProbe || len(named) > 0) {
		r.checker.fail("KEYS: %s %s with the key %q, which claimed to be of %q, reached %s as a request of %q", a.kind, a.id, a.key, a.forged, target, named)
	}
}

// checkLogsForKeys checks that no VM writes a key to its log.
func (r *run) checkLogsForKeys() {
	for _, v := range r.vms {
		if text, err := os.ReadFile(v.path("log")); err == nil && strings.Contains(string(text), keyPrefix) {
			r.checker.fail("KEYS: the log of %s contains a key", v.name)
		}
	}
}

// awaitOrganisations checks that each organisation with a quota is served again within the calm
// time after the last fault, so that no wrong count keeps it out.
func (r *run) awaitOrganisations() {
	if !r.options.HardLoad {
		return
	}
	end := time.Now().Add(calm)
	var wait sync.WaitGroup
	for i, name := range []string{largeOrganisation, smallOrganisation} {
		v, key := r.vms[i%len(r.vms)], r.organisations.stableKey(name)
		wait.Go(func() {
			r.awaitRequest(v, kindLookup+" of organisation "+name, end, func(n int) outgoing {
				q := r.next(kindLookup, n)
				q.key = key
				return q
			})
		})
	}
	wait.Wait()
}

// changeBesideCuts withdraws keys and halves all quotas while a third of the VMs do not reach the
// store, and lets callers go on until the change binds everywhere. With Options.Planned no VM is cut
// off, and the time is too short for lower quotas to bind.
func (r *run) changeBesideCuts() {
	if !r.options.HardLoad {
		return
	}
	bound, cuts := keyBound, 0
	if !r.options.Planned {
		bound, cuts = keyBound+outerBound, len(r.vms)/3
	}
	for _, v := range r.vms[:cuts] {
		end := v.timeline.begin(cut)
		v.store.Set(true, false, 0)
		defer func() { v.store.Set(false, false, 0); end() }()
	}
	r.mu.Lock()
	for name, all := range rates {
		r.organisations.rates[name] = all[0] / 2
	}
	for _, name := range organisationNames {
		r.organisations.replaceKey(name, r.config+1)
	}
	_ = r.configure() // cannot fail on a value of this package
	r.mu.Unlock()
	time.Sleep(bound + time.Second)
}
