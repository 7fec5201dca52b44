package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/owner"
	"cicadaslip/internal/pause"
)

const (
	// registerRetryInterval is the mean pause between registration attempts
	// while the store is down. The pause has jitter, so that VMs that start
	// together do not call the store at the same time.
	registerRetryInterval = 500 * time.Millisecond
	// registrationsWatchWait is the time that one watch of the registrations waits.
	registrationsWatchWait = 20 * time.Second
	// watchRetryInterval is the mean pause, with jitter, after a failed read or watch.
	watchRetryInterval = time.Second
)

// register writes the VM's registration and then reads the epochs of the
// groups. It retries until the store answers or stop is closed: without a
// registration, a new owner of a group could not know that this VM may hold
// permits.
func (d *Daemon) register(stop <-chan struct{}) error {
	for {
		err := d.tryRegister()
		if err == nil {
			return nil
		}
		d.log.Warn().Err(err).Msg("registration failed; will retry")
		delay := registerRetryInterval/2 + rand.N(registerRetryInterval)
		select {
		case <-stop:
			return errs.Wrap(err, errs.NotReady, "stopped before the VM was registered")
		case <-time.After(delay):
		}
	}
}

// tryRegister makes one attempt to register the VM and to read the epochs of
// the groups.
func (d *Daemon) tryRegister() error {
	ctx, cancel := context.WithTimeout(d.ctx, d.settings.Platform.CallTimeout)
	defer cancel()
	key := owner.VMKeyPrefix + d.self.Name
	previous, err := d.store.Get(ctx, key, 0)
	if err != nil && !errs.Is(err, errs.NotFound) {
		return err
	}
	if err == nil {
		d.raiseIncarnation(previous)
	}
	if err := d.startHeartbeats(); err != nil {
		return err
	}
	revision, err := d.writeRegistration(ctx, key, previous.Version)
	if err != nil {
		return err
	}
	d.registrationRevision = revision
	return d.readEpochs(ctx)
}

// raiseIncarnation sets the incarnation above the registered one if it is not
// greater, for example because the VM's clock was set back.
func (d *Daemon) raiseIncarnation(previous objectstore.Object) {
	var vm model.VM
	if json.Unmarshal(previous.Value, &vm) == nil && vm.Incarnation >= d.self.Incarnation {
		d.self.Incarnation = vm.Incarnation + 1
	}
}

// writeRegistration writes the registration and returns its store revision. The
// write is conditional, so that two processes with the same VM name cannot both
// register the same incarnation. A lost response leads to a conflict on the
// next attempt, which raises the incarnation.
func (d *Daemon) writeRegistration(ctx context.Context, key string, version int64) (int64, error) {
	value, err := json.Marshal(d.self)
	if err != nil {
		return 0, errs.Wrap(err, errs.Internal, "encode registration")
	}
	var object objectstore.Object
	if version == 0 {
		object, err = d.store.Create(ctx, key, value)
	} else {
		object, err = d.store.Update(ctx, key, value, version)
	}
	return object.Revision, err
}

// readEpochs raises the lowest accepted epoch of each group to the epoch in the
// store, read at a revision not older than the registration.
func (d *Daemon) readEpochs(ctx context.Context) error {
	objects, _, err := objectstore.ListAll(ctx, d.store, group.KeyPrefix, d.registrationRevision)
	if err != nil {
		return err
	}
	for _, object := range objects {
		record, err := group.DecodeRecord(object.Value)
		if err != nil {
			d.log.Error().Err(err).Str("key", object.Key).Msg("decoding a group record failed")
			continue
		}
		if _, err := d.holdings.ConfirmEpoch(record.Group, record.Epoch); err != nil {
			return err
		}
	}
	return nil
}

// watchRegistrations keeps the registrations of VMs current by a watch of the
// store.
func (d *Daemon) watchRegistrations(ctx context.Context) {
	revision := int64(0)
	for ctx.Err() == nil {
		next, err := d.readRegistrations(ctx, revision)
		if err != nil {
			pause.For(ctx, watchRetryInterval/2+rand.N(watchRetryInterval))
			continue
		}
		revision = next
		changes, err := d.store.Watch(ctx, owner.VMKeyPrefix, revision, registrationsWatchWait)
		if err != nil {
			pause.For(ctx, watchRetryInterval/2+rand.N(watchRetryInterval))
			continue
		}
		revision = max(revision, changes.Revision)
	}
}

// readRegistrations reads the registrations of all VMs and returns the revision
// of the read. The store counts one call per page, which is acceptable because
// registrations change only when VMs are replaced.
func (d *Daemon) readRegistrations(ctx context.Context, minRevision int64) (int64, error) {
	objects, revision, err := objectstore.ListAll(ctx, d.store, owner.VMKeyPrefix, minRevision)
	if err != nil {
		return 0, err
	}
	vms := make([]model.VM, 0, len(objects))
	for _, object := range objects {
		var vm model.VM
		if err := json.Unmarshal(object.Value, &vm); err != nil {
			d.log.Error().Err(err).Str("key", object.Key).Msg("decoding a registration failed")
			continue
		}
		vms = append(vms, vm)
		if vm.Name == d.self.Name && vm.Incarnation > d.self.Incarnation {
			d.signalSuperseded()
		}
	}
	d.members.setRegistrations(vms)
	return revision, nil
}

// signalSuperseded makes Run end, because another process has registered the
// same VM later. Peers regard this incarnation as gone and its permits as
// abandoned, so it must not send any more requests.
func (d *Daemon) signalSuperseded() {
	d.supersededOnce.Do(func() { close(d.superseded) })
}
