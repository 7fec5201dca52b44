package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/journal"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/rpcapi"
)

// journalDuty runs the journal shards that this VM owns. The number of shards
// is part of the configuration, so the parts exist only after the first one; a
// later change of the number is ignored, because it would move keys.
type journalDuty struct {
	d     *Daemon
	parts atomic.Pointer[journalParts]
}

type journalParts struct {
	host    *journal.Host
	service *journal.Service
	client  *journal.Client
}

// configure takes over what the configuration says about the journal.
func (j *journalDuty) configure(configuration *model.Configuration) {
	if parts := j.parts.Load(); parts != nil {
		parts.host.SetRetention(configuration.Retention)
		if parts.host.Shards() != configuration.JournalShards {
			j.d.log.Error().Int("shards", configuration.JournalShards).Msg("the number of journal shards cannot be changed, keeping the former one")
		}
		return
	}
	settings := journal.DefaultSettings(j.d.holder())
	settings.Retention = configuration.Retention
	settings.MaxResponseBytes = int(j.d.settings.Limits.RetainedResultBytes)
	seed := uint64(j.d.self.Incarnation)
	parts := &journalParts{}
	parts.host = journal.NewHost(configuration.JournalShards, settings, journal.Dependencies{
		Store: j.d.store, Liveness: j.d.members, Now: time.Now, Rand: rand.New(rand.NewPCG(seed, seed)),
		Recorder: j.d.events, Log: j.d.log, Counters: &journal.Counters{},
	})
	parts.service = journal.NewService(parts.host)
	parts.client = journal.NewClient(j.d.holder(), parts.service, journalPeers{j.d})
	j.parts.Store(parts)
	j.d.goRun(parts.client.Run)
	j.d.goRun(parts.host.Run)
}

// run says which of the shards this VM should own.
func (j *journalDuty) run(ctx context.Context) {
	settled := time.Now().Add(j.d.settings.Membership.SuspectAfter)
	for pause.For(ctx, dutyInterval) {
		parts := j.parts.Load()
		if parts == nil || time.Now().Before(settled) || j.d.readiness.draining() {
			continue
		}
		parts.host.SetAssigned(func(shard int) bool {
			owner, found := j.d.members.dutyOwner(shardDuty(shard), "")
			return found && owner.Name == j.d.self.Name
		})
	}
}

// drain hands the shards over.
func (j *journalDuty) drain(ctx context.Context) error {
	if parts := j.parts.Load(); parts != nil {
		return parts.host.Drain(ctx)
	}
	return nil
}

func noJournal() *errs.Error {
	return errs.NotRun(errs.NotReady, "no configuration is in force")
}

// journalClaims implements frontend.Claims.
type journalClaims struct{ *journalDuty }

// Claim implements frontend.Claims.
func (j journalClaims) Claim(ctx context.Context, request rpcapi.ClaimRequest) (rpcapi.ClaimReply, error) {
	if parts := j.parts.Load(); parts != nil {
		began := time.Now()
		reply, err := parts.client.Claim(ctx, request)
		j.d.metrics.Observe(metrics.ClaimLatency, time.Since(began))
		j.d.metrics.Count(metrics.ClaimsByState, claimLabel(reply, err))
		return reply, err
	}
	return rpcapi.ClaimReply{}, noJournal()
}

// claimLabel returns the state of an answered claim, or the error code.
func claimLabel(reply rpcapi.ClaimReply, err error) string {
	switch {
	case err != nil:
		return metrics.Label(err)
	case reply.Err != nil:
		return string(reply.Err.Code)
	}
	return string(reply.State)
}

// Outcome implements frontend.Claims.
func (j journalClaims) Outcome(ctx context.Context, request rpcapi.OutcomeRequest) error {
	if parts := j.parts.Load(); parts != nil {
		return parts.client.Outcome(ctx, request)
	}
	return noJournal()
}

// ReleaseClaim implements frontend.Claims.
func (j journalClaims) ReleaseClaim(ctx context.Context, request rpcapi.ReleaseClaimRequest) error {
	if parts := j.parts.Load(); parts != nil {
		return parts.client.ReleaseClaim(ctx, request)
	}
	return noJournal()
}

// Lookup implements frontend.Claims.
func (j journalClaims) Lookup(ctx context.Context, request rpcapi.LookupRequest) (rpcapi.ClaimReply, error) {
	if parts := j.parts.Load(); parts != nil {
		return parts.client.Lookup(ctx, request)
	}
	return rpcapi.ClaimReply{}, noJournal()
}

// journalRPC serves the journal's calls of other VMs.
type journalRPC struct{ j *journalDuty }

// Claim asks for a key.
func (s *journalRPC) Claim(request *rpcapi.ClaimRequest, reply *rpcapi.ClaimReply) error {
	if parts := s.j.parts.Load(); parts != nil {
		return parts.service.Claim(request, reply)
	}
	reply.Err = noJournal()
	return nil
}

// Outcome stores the first answer of a claimed call.
func (s *journalRPC) Outcome(request *rpcapi.OutcomeRequest, reply *rpcapi.OutcomeReply) error {
	if parts := s.j.parts.Load(); parts != nil {
		return parts.service.Outcome(request, reply)
	}
	reply.Err = noJournal()
	return nil
}

// ReleaseClaim frees a key whose call was certainly not sent.
func (s *journalRPC) ReleaseClaim(request *rpcapi.ReleaseClaimRequest, reply *rpcapi.ReleaseClaimReply) error {
	if parts := s.j.parts.Load(); parts != nil {
		return parts.service.ReleaseClaim(request, reply)
	}
	reply.Err = noJournal()
	return nil
}

// Lookup returns the state of a key without claiming it.
func (s *journalRPC) Lookup(request *rpcapi.LookupRequest, reply *rpcapi.ClaimReply) error {
	if parts := s.j.parts.Load(); parts != nil {
		return parts.service.Lookup(request, reply)
	}
	reply.Err = noJournal()
	return nil
}
