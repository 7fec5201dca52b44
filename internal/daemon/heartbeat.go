package daemon

import (
	"context"
	"time"

	"cicadaslip/internal/membership"
	"cicadaslip/internal/peer"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// startHeartbeats creates the membership table for the current incarnation and
// binds the UDP address for heartbeats, which becomes part of the registration.
// When registration is retried, possibly with a greater incarnation, it
// replaces both.
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
		HandleDigest: d.members.receiveHeartbeat, Logger: d.log,
	})
	if err != nil {
		return err
	}
	d.self.PeerUDPAddr = d.heartbeats.Addr()
	return nil
}

// digest returns the state of this VM that heartbeats send to its peers.
func (d *Daemon) digest() rpcapi.Digest {
	return rpcapi.Digest{
		From: d.holder(), DataCentre: d.self.DataCentre, Ready: d.readiness.Ready() == nil,
		Draining: d.readiness.draining(), ConfigVersion: d.follower.Version(), Groups: d.owners.Digests(),
	}
}

// runMembership sends heartbeats and updates the membership table at each
// heartbeat interval until ctx ends.
func (d *Daemon) runMembership(ctx context.Context) {
	ticker := time.NewTicker(d.settings.Membership.HeartbeatInterval)
	defer ticker.Stop()
	for {
		d.sendHeartbeats()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendHeartbeats updates the membership table, handles the changes of peer
// states and sends a heartbeat to each peer.
func (d *Daemon) sendHeartbeats() {
	digest := d.digest()
	for _, group := range digest.Groups {
		d.routingTable.ApplyDigest(d.holder(), group)
	}
	d.members.mu.Lock()
	d.members.table.SetSelf(digest)
	transitions := d.members.table.Advance(d.now())
	d.members.trackUnreachable(transitions)
	d.members.mu.Unlock()
	for _, transition := range transitions {
		d.peerStateChanged(transition)
	}
	for _, entry := range d.members.peers() {
		if err := d.heartbeats.Send(entry.VM.Name, entry.VM.PeerUDPAddr, digest); err != nil {
			d.log.Debug().Err(err).Str("peer", entry.VM.Name).Msg("sending a heartbeat failed")
		}
	}
}

// peerStateChanged records and logs the new state of a peer. If the peer is
// gone, it also notifies the groups that this VM owns.
func (d *Daemon) peerStateChanged(transition membership.Transition) {
	kind := timeline.PeerSuspect
	switch transition.To {
	case membership.Alive:
		kind = timeline.PeerAlive
	case membership.Gone:
		kind = timeline.PeerGone
		d.owners.NotifyHolderGone(transition.Holder)
	}
	d.events.Record(timeline.Event{Kind: kind, Detail: transition.Holder.VM + " is " + string(transition.To)})
	d.log.Info().Str("peer", transition.Holder.VM).Str("from", string(transition.From)).
		Str("to", string(transition.To)).Msg("peer state changed")
}
