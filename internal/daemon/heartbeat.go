package daemon

import (
	"context"
	"time"

	"cicadaslip/internal/membership"
	"cicadaslip/internal/peer"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// startHeartbeats makes the membership table of the present incarnation and
// binds the heartbeats' address, which becomes part of the registration. A
// later attempt with a greater incarnation replaces both.
func (d *Daemon) startHeartbeats() error {
	if d.heartbeats != nil {
		if err := d.heartbeats.Close(); err != nil {
			return err
		}
	}
	credentials, err := peer.NewCredentials([]byte(d.settings.Cluster.Secret))
	if err != nil {
		return err
	}
	d.members = newMembers(d)
	d.heartbeats, err = peer.StartHeartbeats(peer.HeartbeatSettings{
		Addr: d.settings.Addresses.PeerUDP, Self: d.holder(), Credentials: credentials, Clock: d.clock,
		HandleDigest: d.members.receive, Logger: d.log,
	})
	if err != nil {
		return err
	}
	d.self.PeerUDPAddr = d.heartbeats.Addr()
	return nil
}

// digest is what this VM tells its peers.
func (d *Daemon) digest() rpcapi.Digest {
	return rpcapi.Digest{
		From: d.holder(), DataCentre: d.self.DataCentre, Ready: d.readiness.Ready() == nil,
		Draining: d.readiness.draining(), ConfigVersion: d.follower.Version(), Groups: d.owners.Digests(),
	}
}

// runMembership sends heartbeats and advances the table.
func (d *Daemon) runMembership(ctx context.Context) {
	ticker := time.NewTicker(d.settings.Membership.HeartbeatInterval)
	defer ticker.Stop()
	for {
		d.beat()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) beat() {
	digest := d.digest()
	for _, own := range digest.Groups {
		d.table.Apply(d.holder(), own)
	}
	d.members.mu.Lock()
	d.members.table.SetSelf(digest)
	transitions := d.members.table.Advance(d.now())
	d.members.noteSilent(transitions)
	d.members.mu.Unlock()
	for _, transition := range transitions {
		d.peerChanged(transition)
	}
	for _, entry := range d.members.peers() {
		if err := d.heartbeats.Send(entry.VM.Name, entry.VM.PeerUDPAddr, digest); err != nil {
			d.log.Debug().Err(err).Str("peer", entry.VM.Name).Msg("heartbeat not sent")
		}
	}
}

func (d *Daemon) peerChanged(transition membership.Transition) {
	kind := timeline.PeerSuspect
	switch transition.To {
	case membership.Alive:
		kind = timeline.PeerAlive
	case membership.Gone:
		kind = timeline.PeerGone
		d.owners.HolderGone(transition.Holder)
	}
	d.events.Record(timeline.Event{Kind: kind, Detail: transition.Holder.VM + " is " + string(transition.To)})
	d.log.Info().Str("peer", transition.Holder.VM).Str("from", string(transition.From)).
		Str("to", string(transition.To)).Msg("peer state changed")
}
