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

// journalManager runs the journal shards that this VM owns and the client for
// all shards. The number of shards is part of the configuration, so the
// components exist only once the first configuration is in force. A later
// change of the number is ignored, because it would assign keys to other
// shards.
type journalManager struct {
	d          *Daemon
	components atomic.Pointer[journalComponents]
}

// journalComponents are the parts of the journal that are created with the
// first configuration.
type journalComponents struct {
	host    *journal.Host
	service *journal.Service
	client  *journal.Client
}

// configure applies the journal settings of a configuration and creates the
// components with the first one.
func (j *journalManager) configure(configuration *model.Configuration) {
	if components := j.components.Load(); components != nil {
		components.host.SetRetention(configuration.Retention)
		if components.host.Shards() != configuration.JournalShards {
			j.d.log.Error().Int("shards", configuration.JournalShards).Msg("the number of journal shards cannot be changed; keeping the previous number")
		}
		return
	}
	settings := journal.DefaultSettings(j.d.holder())
	settings.Retention = configuration.Retention
	settings.MaxResponseBytes = int(j.d.settings.Limits.RetainedResultBytes)
	seed := uint64(j.d.self.Incarnation)
	components := &journalComponents{}
	components.host = journal.NewHost(configuration.JournalShards, settings, journal.Dependencies{
		Store: j.d.store, Liveness: j.d.members, Now: time.Now, Rand: rand.New(rand.NewPCG(seed, seed)),
		Recorder: j.d.events, Log: j.d.log, Counters: &journal.Counters{},
	})
	components.service = journal.NewService(components.host)
	components.client = journal.NewClient(j.d.holder(), components.service, journalPeers{j.d})
	j.components.Store(components)
	j.d.runInBackground(components.client.Run)
	j.d.runInBackground(components.host.Run)
}

// assignShards regularly tells the journal host which shards this VM should
// own, until ctx ends.
func (j *journalManager) assignShards(ctx context.Context) {
	settledAt := time.Now().Add(j.d.settings.Membership.SuspectAfter)
	for pause.For(ctx, dutyCheckInterval) {
		components := j.components.Load()
		if components == nil || time.Now().Before(settledAt) || j.d.readiness.draining() {
			continue
		}
		components.host.SetAssigned(func(shard int) bool {
			owner, found := j.d.members.dutyOwner(shardDuty(shard), "")
			return found && owner.Name == j.d.self.Name
		})
	}
}

// drain hands the owned shards over to other VMs.
func (j *journalManager) drain(ctx context.Context) error {
	if components := j.components.Load(); components != nil {
		return components.host.Drain(ctx)
	}
	return nil
}

// journalNotReady returns the error for journal calls before the first
// configuration is in force.
func journalNotReady() *errs.Error {
	return errs.NotRun(errs.NotReady, "no configuration is in force")
}

// journalClaims implements frontend.Claims.
type journalClaims struct{ *journalManager }

// Claim implements frontend.Claims.
func (j journalClaims) Claim(ctx context.Context, request rpcapi.ClaimRequest) (rpcapi.ClaimReply, error) {
	if components := j.components.Load(); components != nil {
		start := time.Now()
		reply, err := components.client.Claim(ctx, request)
		j.d.metrics.Observe(metrics.ClaimLatency, time.Since(start))
		j.d.metrics.Count(metrics.ClaimsByState, claimLabel(reply, err))
		return reply, err
	}
	return rpcapi.ClaimReply{}, journalNotReady()
}

// claimLabel returns the metric label of a claim: its state, or the error code
// if the claim failed or was refused.
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
	if components := j.components.Load(); components != nil {
		return components.client.Outcome(ctx, request)
	}
	return journalNotReady()
}

// ReleaseClaim implements frontend.Claims.
func (j journalClaims) ReleaseClaim(ctx context.Context, request rpcapi.ReleaseClaimRequest) error {
	if components := j.components.Load(); components != nil {
		return components.client.ReleaseClaim(ctx, request)
	}
	return journalNotReady()
}

// Lookup implements frontend.Claims.
func (j journalClaims) Lookup(ctx context.Context, request rpcapi.LookupRequest) (rpcapi.ClaimReply, error) {
	if components := j.components.Load(); components != nil {
		return components.client.Lookup(ctx, request)
	}
	return rpcapi.ClaimReply{}, journalNotReady()
}

// journalRPC serves journal calls of other VMs.
type journalRPC struct{ j *journalManager }

// Claim requests a key for a claim ID and returns the state of the key.
func (s *journalRPC) Claim(request *rpcapi.ClaimRequest, reply *rpcapi.ClaimReply) error {
	if components := s.j.components.Load(); components != nil {
		return components.service.Claim(request, reply)
	}
	reply.Err = journalNotReady()
	return nil
}

// Outcome stores the first answer of a call whose key is claimed.
func (s *journalRPC) Outcome(request *rpcapi.OutcomeRequest, reply *rpcapi.OutcomeReply) error {
	if components := s.j.components.Load(); components != nil {
		return components.service.Outcome(request, reply)
	}
	reply.Err = journalNotReady()
	return nil
}

// ReleaseClaim releases the claim of a key whose call was certainly not sent.
func (s *journalRPC) ReleaseClaim(request *rpcapi.ReleaseClaimRequest, reply *rpcapi.ReleaseClaimReply) error {
	if components := s.j.components.Load(); components != nil {
		return components.service.ReleaseClaim(request, reply)
	}
	reply.Err = journalNotReady()
	return nil
}

// Lookup returns the state of a key without claiming it.
func (s *journalRPC) Lookup(request *rpcapi.LookupRequest, reply *rpcapi.ClaimReply) error {
	if components := s.j.components.Load(); components != nil {
		return components.service.Lookup(request, reply)
	}
	reply.Err = journalNotReady()
	return nil
}
