package daemon

import (
	"cicadaslip/internal/admin"
	"cicadaslip/internal/membership"
)

// overview implements admin.Overview with the state of this daemon.
type overview struct{ d *Daemon }

// Status implements admin.Overview.
func (o overview) Status() (admin.Status, error) {
	status := admin.Status{
		VM: o.d.self, Draining: o.d.readiness.draining(), ConfigVersion: o.d.follower.Version(),
		InFlight: o.d.frontend.InFlight(),
	}
	if err := o.d.readiness.Ready(); err != nil {
		status.NotReadyReason = err.Error()
	} else {
		status.Ready = true
	}
	for _, entry := range o.d.members.entries() {
		if entry.Holder() != o.d.holder() {
			status.Peers = append(status.Peers, peerStatus(entry))
		}
	}
	for _, view := range o.d.owners.Views() {
		status.Groups = append(status.Groups, admin.GroupStatus{
			Group: view.Group, Epoch: view.Epoch, Barrier: view.Barrier, Targets: len(view.Targets),
			Queued: view.Queued, QueuedWork: view.QueuedWork,
		})
	}
	return status, nil
}

// peerStatus returns the status of a peer from its entry in the membership
// table.
func peerStatus(entry membership.Entry) admin.PeerStatus {
	return admin.PeerStatus{
		VM: entry.VM.Name, Incarnation: entry.VM.Incarnation, DataCentre: entry.VM.DataCentre, State: entry.State,
		HearsUs: entry.HearsUs, Ready: entry.Digest.Ready, Draining: entry.Digest.Draining,
		ConfigVersion: entry.Digest.ConfigVersion,
	}
}

// Targets implements admin.Overview. It covers the groups that this VM owns.
func (o overview) Targets() ([]admin.TargetStatus, error) {
	var targets []admin.TargetStatus
	for _, view := range o.d.owners.Views() {
		for _, t := range view.Targets {
			targets = append(targets, admin.TargetStatus{
				Target: t.Target, Group: view.Group, Epoch: view.Epoch, Permits: t.Permits,
				Straggler: t.Straggler, Intents: t.Intents,
			})
		}
	}
	return targets, nil
}

// Adapters implements admin.Overview. It covers the groups that this VM owns.
func (o overview) Adapters(filter admin.AdapterFilter) ([]admin.AdapterStatus, error) {
	var adapters []admin.AdapterStatus
	for _, view := range o.d.owners.Views() {
		for _, a := range view.Adapters {
			status := admin.AdapterStatus{Adapter: a.Adapter, Target: a.Target, Group: view.Group, State: admin.AdapterResident, Pins: a.Pins}
			switch {
			case a.Loading:
				status.State = admin.AdapterLoading
			case a.Evicting:
				status.State = admin.AdapterEvicting
			}
			if filter.Matches(status) {
				adapters = append(adapters, status)
			}
		}
	}
	return adapters, nil
}

// drainer implements admin.Drainer.
type drainer struct{ d *Daemon }

// Drain implements admin.Drainer. It requests a drain and returns at once;
// later calls have no effect.
func (d drainer) Drain() error {
	d.d.drainOnce.Do(func() { close(d.d.drainRequested) })
	return nil
}
