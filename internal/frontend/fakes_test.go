package frontend_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

var (
	quoteAdapter = model.AdapterVersion{Organisation: "baltzips", Adapter: "quote", Version: "3"}
	testHolder   = model.Holder{VM: "vm-1", Incarnation: 7}
)

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

var testConfiguration = &model.Configuration{
	Version: 1,
	Organisations: map[string]model.Organisation{
		"baltzips": {Name: "baltzips", CredentialHash: tokenHash("zips")},
		"jegue":    {Name: "jegue", CredentialHash: tokenHash("ride")},
	},
	Adapters: map[string]model.Adapter{
		"baltzips/quote": {Organisation: "baltzips", Name: "quote", BaseModel: "base", Versions: []string{"3"}},
	},
	Kinds: map[string]model.Kind{
		"baltzips/repair": {Organisation: "baltzips", Name: "repair", Application: "workshop", AtMostOnce: true, Deadline: 20 * time.Second},
		"baltzips/stock":  {Organisation: "baltzips", Name: "stock", Application: "workshop", Deadline: 20 * time.Second},
		"baltzips/once":   {Organisation: "baltzips", Name: "once", AtMostOnce: true},
	},
}

type fixedConfiguration struct{}

func (fixedConfiguration) Current() *model.Configuration { return testConfiguration }

// fakePermits grants a permit for the first target of the requested class that is not
// excluded.
type fakePermits struct {
	mu             sync.Mutex
	targets        []model.Target
	granted        []core.Permit
	released       []core.PermitReleased
	reportCount    int
	acquireError   *errs.Error
	panicOnAcquire bool
}

func (p *fakePermits) Acquire(_ context.Context, r core.Request) (core.Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.panicOnAcquire {
		panic("injected by the test")
	}
	if p.acquireError != nil {
		return core.Permit{}, p.acquireError
	}
	for _, t := range p.targets {
		if t.Class == r.Class && !slices.Contains(r.Exclude, t.Name) {
			permit := core.Permit{Request: r.ID, Target: t, Adapter: r.Adapter, Epoch: 1, Group: "g"}
			p.granted = append(p.granted, permit)
			return permit, nil
		}
	}
	return core.Permit{}, errs.NotRun(errs.NoTarget, "all targets are excluded")
}

func (p *fakePermits) Release(_ core.Permit, r core.PermitReleased) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = append(p.released, r)
}

func (p *fakePermits) Report(core.Permit, core.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportCount++
}

func (p *fakePermits) outcomes() []core.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []core.Outcome
	for _, r := range p.released {
		out = append(out, r.Outcome)
	}
	return out
}

func (p *fakePermits) attempts() []model.RequestID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []model.RequestID
	for _, g := range p.granted {
		out = append(out, g.Request)
	}
	return out
}

// fakeUsage keeps the outcome of each recorded attempt.
type fakeUsage struct {
	mu      sync.Mutex
	records map[model.RequestID]core.Outcome
}

func (u *fakeUsage) RecordUsed(id model.RequestID, _, _ string, o core.Outcome, _ core.Usage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.records[id] = o
}

// fakeClaims is an in-memory journal with injected faults.
type fakeClaims struct {
	mu             sync.Mutex
	claimsByKey    map[rpcapi.ClaimKey]rpcapi.ClaimRequest
	outcomesByKey  map[rpcapi.ClaimKey]rpcapi.OutcomeRequest
	claimError     error // returned by Claim, if set
	claimCommitted bool  // a claim takes effect although Claim returns claimError
	released       int
}

func (c *fakeClaims) Claim(_ context.Context, r rpcapi.ClaimRequest) (rpcapi.ClaimReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimError != nil {
		if c.claimCommitted {
			c.claimsByKey[r.Key] = r
		}
		return rpcapi.ClaimReply{}, c.claimError
	}
	old, found := c.claimsByKey[r.Key]
	switch {
	case !found:
		c.claimsByKey[r.Key] = r
		return rpcapi.ClaimReply{State: rpcapi.ClaimGranted}, nil
	case old.BodyHash != r.BodyHash:
		return rpcapi.ClaimReply{State: rpcapi.ClaimReused}, nil
	default:
		return c.state(r.Key), nil
	}
}

func (c *fakeClaims) state(key rpcapi.ClaimKey) rpcapi.ClaimReply {
	outcome, found := c.outcomesByKey[key]
	switch {
	case !found:
		return rpcapi.ClaimReply{State: rpcapi.ClaimRunning}
	case outcome.Unknown:
		return rpcapi.ClaimReply{State: rpcapi.ClaimUnknown}
	default:
		return rpcapi.ClaimReply{State: rpcapi.ClaimFinished, Response: outcome.Response}
	}
}

func (c *fakeClaims) Outcome(_ context.Context, r rpcapi.OutcomeRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomesByKey[r.Key] = r
	return nil
}

func (c *fakeClaims) ReleaseClaim(_ context.Context, r rpcapi.ReleaseClaimRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimsByKey[r.Key].ID == r.ID {
		delete(c.claimsByKey, r.Key)
		c.released++
	}
	return nil
}

func (c *fakeClaims) Lookup(_ context.Context, r rpcapi.LookupRequest) (rpcapi.ClaimReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.claimsByKey[r.Key]; !found {
		return rpcapi.ClaimReply{State: rpcapi.ClaimAbsent}, nil
	}
	return c.state(r.Key), nil
}

func (c *fakeClaims) releaseCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}

// eventRecorder keeps all events of the timeline.
type eventRecorder struct {
	mu       sync.Mutex
	recorded []timeline.Event
}

func (e *eventRecorder) Record(event timeline.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorded = append(e.recorded, event)
}

func (e *eventRecorder) kinds() []timeline.Kind {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []timeline.Kind
	for _, event := range e.recorded {
		out = append(out, event.Kind)
	}
	return out
}

type fakeReadiness struct{ err error }

func (r *fakeReadiness) Ready() error { return r.err }
