package daemon

import (
	"context"
	"time"

	"cicadaslip/internal/pause"
	"cicadaslip/internal/rpcapi"
)

const (
	// dutyCheckInterval is the time between checks of which VM should own which
	// duty.
	dutyCheckInterval = 200 * time.Millisecond
	// residentFetchInterval is the time between fetches of resident sets that
	// have changed.
	residentFetchInterval = 250 * time.Millisecond
	// residentFetchTimeout limits the duration of one fetch from another VM.
	residentFetchTimeout = time.Second
)

// runDuties takes over groups whose owner no longer serves, if this VM is next.
// Other groups keep their owner, because each takeover stops evictions for a
// while.
func (d *Daemon) runDuties(ctx context.Context) {
	// Start only after the heartbeats of the current owners have had time to
	// arrive.
	settledAt := time.Now().Add(d.settings.Membership.SuspectAfter + d.settings.Membership.HeartbeatInterval)
	for pause.For(ctx, dutyCheckInterval) {
		d.follower.SetWatching(d.members.shouldWatchConfig())
		if time.Now().Before(settledAt) || d.readiness.draining() || d.follower.Current() == nil {
			continue
		}
		for _, g := range d.routingTable.Groups() {
			if d.shouldTakeOver(g.Name, g.DataCentre) {
				d.owners.TakeOver(g.Name)
			}
		}
	}
}

// shouldTakeOver reports whether this VM should take over a group: it is the
// next owner, and the present owner no longer serves, or it serves from another
// data centre while this VM is in the group's own data centre.
func (d *Daemon) shouldTakeOver(group, dataCentre string) bool {
	if d.owners.Owns(group) {
		return false
	}
	owner, _, known := d.routingTable.Owner(group)
	ownerServes := known && owner != d.holder() && d.members.isServing(owner)
	if ownerServes && (d.self.DataCentre != dataCentre || d.members.dataCentreOf(owner) == dataCentre) {
		return false
	}
	successor, found := d.members.groupOwner(group, dataCentre)
	return found && successor.Name == d.self.Name
}

// fetchResidentSets fetches the sets of resident adapters that have changed
// from the owners of the groups.
func (d *Daemon) fetchResidentSets(ctx context.Context) {
	for pause.For(ctx, residentFetchInterval) {
		for group, owner := range d.routingTable.OutdatedResidents() {
			request := rpcapi.ResidentRequest{Group: group}
			if owner == d.holder() {
				d.setResident(group, d.owners.Resident(request))
				continue
			}
			var reply rpcapi.ResidentReply
			callCtx, cancel := context.WithTimeout(ctx, residentFetchTimeout)
			if d.call(callCtx, owner.VM, ownerService+".Resident", &request, &reply) == nil {
				d.setResident(group, reply)
			}
			cancel()
		}
	}
}

// setResident stores a group's resident adapters in the routing table, unless
// the reply is a refusal.
func (d *Daemon) setResident(group string, reply rpcapi.ResidentReply) {
	if reply.Err == nil {
		d.routingTable.SetResident(group, reply.Version, reply.Adapters)
	}
}

// requestLoadPermit requests a load permit from the VM that holds the duty of
// the load coordinator, or from the coordinator of this VM if no VM holds it.
func (d *Daemon) requestLoadPermit(ctx context.Context, request rpcapi.LoadPermitRequest) error {
	vm, found := d.members.dutyOwner(coordinatorDuty, "")
	if !found {
		vm = d.self
	}
	callCtx, cancel := context.WithTimeout(ctx, maxLoadPermitWait+time.Second)
	defer cancel()
	if vm.Name == d.self.Name {
		if err := d.coordinator.wait(callCtx, request); err != nil {
			return err
		}
		return nil
	}
	var reply rpcapi.LoadPermitReply
	if err := d.call(callCtx, vm.Name, ownerService+".LoadPermit", &request, &reply); err != nil {
		return err
	}
	if reply.Err != nil {
		return reply.Err
	}
	return nil
}
