package edge

import (
	"context"
	"time"

	"cicadaslip/internal/grouprpc"
)

// groupService implements the net/rpc service grouprpc.Service, which other VMs call. Its
// exported methods carry their names on the wire.
type groupService struct{ d *Daemon }

// Acquire implements grouprpc.AcquireMethod.
func (s *groupService) Acquire(request grouprpc.AcquireRequest, reply *grouprpc.AcquireReply) (err error) {
	defer s.d.contain("acquire", &err)
	ctx, cancel := context.WithTimeout(context.Background(), request.Request.Deadline+time.Second)
	defer cancel()
	*reply = s.d.groups.Acquire(ctx, request)
	return nil
}

// Events implements grouprpc.EventsMethod.
func (s *groupService) Events(request grouprpc.EventsRequest, reply *grouprpc.EventsReply) (err error) {
	defer s.d.contain("events", &err)
	*reply = s.d.groups.Events(request)
	return nil
}

// Sync implements grouprpc.SyncMethod.
func (s *groupService) Sync(request grouprpc.SyncRequest, reply *grouprpc.SyncReply) (err error) {
	defer s.d.contain("sync", &err)
	s.d.compareNewestRevisions(request.Seen)
	s.d.relay.compareConfig(s.d.configVersion(), request.Config)
	if request.Push != nil {
		s.d.applyUpdate(request.Push)
	}
	s.d.quarantine.Merge(request.Quarantine)
	s.d.mergeLeaving(request.LeavingTargets)
	*reply = s.d.groups.Sync(request)
	if request.WantsLeaving {
		reply.LeavingTargets = s.d.leavingSince(request.LeavingSeen, false)
	}
	if request.WantsQuarantine {
		reply.Quarantine = s.d.quarantine.Since(request.QuarantineSeen)
	}
	reply.Seen, reply.Config, reply.Known = s.d.newestRevisions(), s.d.configVersion(), s.d.appliedRevisions()
	if !reply.NotOwner {
		reply.News = s.d.updateFor(request.Known)
		if request.FetchesConfig {
			deferConfig(&reply.News.Config)
		}
		reply.News.Deputy = s.d.groups.IsDeputy(request.Group, request.VM)
	}
	return nil
}

// Config implements grouprpc.ConfigMethod.
func (s *groupService) Config(request grouprpc.ConfigRequest, reply *grouprpc.ConfigReply) (err error) {
	defer s.d.contain("config", &err)
	*reply, err = s.d.config.deflatedSince(request.Known, request.Version)
	return err
}

// Quota implements grouprpc.QuotaMethod.
func (s *groupService) Quota(request grouprpc.QuotaRequest, reply *grouprpc.QuotaReply) (err error) {
	defer s.d.contain("quota", &err)
	*reply = s.d.groups.Quota(request)
	return nil
}

// Announce implements grouprpc.AnnounceMethod.
func (s *groupService) Announce(request grouprpc.AnnounceRequest, reply *grouprpc.AnnounceReply) (err error) {
	defer s.d.contain("announce", &err)
	*reply = s.d.groups.Announced(request)
	return nil
}
