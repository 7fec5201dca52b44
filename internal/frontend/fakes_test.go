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
	quote  = model.AdapterVersion{Organisation: "baltzips", Adapter: "quote", Version: "3"}
	holder = model.Holder{VM: "vm-1", Incarnation: 7}
)

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

var configuration = &model.Configuration{
	Version: 1,
	Organisations: map[string]model.Organisation{
		"baltzips": {Name: "baltzips", CredentialHash: hashOf("zips")},
		"jegue":    {Name: "jegue", CredentialHash: hashOf("ride")},
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

func (fixedConfiguration) Current() *model.Configuration { return configuration }

// permits grants the first target that is not excluded.
type permits struct {
	mu       sync.Mutex
	targets  []model.Target
	granted  []core.Permit
	released []core.PermitReleased
	reports  int
	refuse   *errs.Error
	panics   bool
}

func (p *permits) Acquire(_ context.Context, r core.Request) (core.Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.panics {
		panic("fault of the test")
	}
	if p.refuse != nil {
		return core.Permit{}, p.refuse
	}
	for _, t := range p.targets {
		if t.Class == r.Class && !slices.Contains(r.Exclude, t.Name) {
			permit := core.Permit{Request: r.ID, Target: t, Adapter: r.Adapter, Epoch: 1, Group: "g"}
			p.granted = append(p.granted, permit)
			return permit, nil
		}
	}
	return core.Permit{}, errs.NotRun(errs.NoTarget, "no target is left")
}

func (p *permits) Release(_ core.Permit, r core.PermitReleased) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = append(p.released, r)
}

func (p *permits) Report(core.Permit, core.Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports++
}

func (p *permits) outcomes() []core.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []core.Outcome
	for _, r := range p.released {
		out = append(out, r.Outcome)
	}
	return out
}

func (p *permits) attempts() []model.RequestID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []model.RequestID
	for _, g := range p.granted {
		out = append(out, g.Request)
	}
	return out
}

// usage counts records.
type usage struct {
	mu      sync.Mutex
	records map[model.RequestID]core.Outcome
}

func (u *usage) RecordUsed(id model.RequestID, _, _ string, o core.Outcome, _ core.Usage) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.records[id] = o
}

// claims is a journal in memory with faults.
type claims struct {
	mu       sync.Mutex
	owner    map[rpcapi.ClaimKey]rpcapi.ClaimRequest
	done     map[rpcapi.ClaimKey]rpcapi.OutcomeRequest
	fail     error // instead of a claim's answer
	lost     bool  // a failed claim takes effect all the same
	released int
}

func (c *claims) Claim(_ context.Context, r rpcapi.ClaimRequest) (rpcapi.ClaimReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fail != nil {
		if c.lost {
			c.owner[r.Key] = r
		}
		return rpcapi.ClaimReply{}, c.fail
	}
	old, found := c.owner[r.Key]
	switch {
	case !found:
		c.owner[r.Key] = r
		return rpcapi.ClaimReply{State: rpcapi.ClaimGranted}, nil
	case old.BodyHash != r.BodyHash:
		return rpcapi.ClaimReply{State: rpcapi.ClaimReused}, nil
	default:
		return c.state(r.Key), nil
	}
}

func (c *claims) state(key rpcapi.ClaimKey) rpcapi.ClaimReply {
	outcome, found := c.done[key]
	switch {
	case !found:
		return rpcapi.ClaimReply{State: rpcapi.ClaimRunning}
	case outcome.Unknown:
		return rpcapi.ClaimReply{State: rpcapi.ClaimUnknown}
	default:
		return rpcapi.ClaimReply{State: rpcapi.ClaimFinished, Response: outcome.Response}
	}
}

func (c *claims) Outcome(_ context.Context, r rpcapi.OutcomeRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done[r.Key] = r
	return nil
}

func (c *claims) ReleaseClaim(_ context.Context, r rpcapi.ReleaseClaimRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner[r.Key].ID == r.ID {
		delete(c.owner, r.Key)
		c.released++
	}
	return nil
}

func (c *claims) Lookup(_ context.Context, r rpcapi.LookupRequest) (rpcapi.ClaimReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.owner[r.Key]; !found {
		return rpcapi.ClaimReply{State: rpcapi.ClaimAbsent}, nil
	}
	return c.state(r.Key), nil
}

func (c *claims) releases() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}

// events keeps the timeline.
type events struct {
	mu   sync.Mutex
	list []timeline.Event
}

func (e *events) Record(event timeline.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, event)
}

func (e *events) kinds() []timeline.Kind {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []timeline.Kind
	for _, one := range e.list {
		out = append(out, one.Kind)
	}
	return out
}

type ready struct{ err error }

func (r *ready) Ready() error { return r.err }
