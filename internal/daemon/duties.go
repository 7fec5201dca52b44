package daemon

import (
	"context"
	"time"

	"cicadaslip/internal/pause"
	"cicadaslip/internal/rpcapi"
)

const (
	// dutyInterval is the time between looks at who should own what.
	dutyInterval = 200 * time.Millisecond
	// residentInterval bounds how often changed resident sets are fetched.
	residentInterval = 250 * time.Millisecond
	residentTimeout  = time.Second
)

// runDuties takes groups over whose owner does not serve any more. Ownership
// stays where it is otherwise, because each takeover stops evictions for a while.
func (d *Daemon) runDuties(ctx context.Context) {
	// Heartbeats of the present owners must have had time to arrive.
	settled := time.Now().Add(d.settings.Membership.SuspectAfter + d.settings.Membership.HeartbeatInterval)
	for pause.For(ctx, dutyInterval) {
		d.follower.SetWatching(d.members.watchesConfig())
		if time.Now().Before(settled) || d.readiness.draining() || d.follower.Current() == nil {
			continue
		}
		for _, g := range d.table.Groups() {
			if d.shouldTakeOver(g.Name, g.DataCentre) {
				d.owners.TakeOver(g.Name)
			}
		}
	}
}

// shouldTakeOver reports whether this VM is next for a group whose owner does
// not serve any more. A group whose owner serves from another data centre goes
// back to a VM of its own.
func (d *Daemon) shouldTakeOver(group, dataCentre string) bool {
	if d.owners.Owns(group) {
		return false
	}
	owner, _, known := d.table.Owner(group)
	served := known && owner != d.holder() && d.members.serves(owner)
	if served && (d.self.DataCentre != dataCentre || d.members.dataCentre(owner) == dataCentre) {
		return false
	}
	next, found := d.members.groupOwner(group, dataCentre)
	return found && next.Name == d.self.Name
}

// fetchResident fetches the resident sets that have changed.
func (d *Daemon) fetchResident(ctx context.Context) {
	for pause.For(ctx, residentInterval) {
		for group, owner := range d.table.OutdatedResidents() {
			request := rpcapi.ResidentRequest{Group: group}
			if owner == d.holder() {
				d.enterResident(group, d.owners.Resident(request))
				continue
			}
			var reply rpcapi.ResidentReply
			callCtx, cancel := context.WithTimeout(ctx, residentTimeout)
			if d.call(callCtx, owner.VM, ownerService+".Resident", &request, &reply) == nil {
				d.enterResident(group, reply)
			}
			cancel()
		}
	}
}

func (d *Daemon) enterResident(group string, reply rpcapi.ResidentReply) {
	if reply.Err == nil {
		d.table.SetResident(group, reply.Version, reply.Adapters)
	}
}

// askCoordinator asks the VM that has the duty of the load coordinator.
func (d *Daemon) askCoordinator(ctx context.Context, request rpcapi.LoadPermitRequest) error {
	vm, found := d.members.dutyOwner(coordinatorDuty, "")
	if !found {
		vm = d.self
	}
	callCtx, cancel := context.WithTimeout(ctx, loadPermitWait+time.Second)
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
