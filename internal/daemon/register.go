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
	// registerPause is the mean pause between attempts while the store is down,
	// with jitter so that VMs that start together do not call together.
	registerPause = 500 * time.Millisecond
	watchWait     = 20 * time.Second
	watchRetry    = time.Second
)

// register writes the VM's registration and then reads the groups' epochs. It
// waits for the store: without a registration a new owner could not know that
// this VM may hold permits.
func (d *Daemon) register(stop <-chan struct{}) error {
	for {
		err := d.tryRegister()
		if err == nil {
			return nil
		}
		d.log.Warn().Err(err).Msg("registration failed, trying again")
		pause := registerPause/2 + rand.N(registerPause)
		select {
		case <-stop:
			return errs.Wrap(err, errs.NotReady, "stopped before the registration")
		case <-time.After(pause):
		}
	}
}

func (d *Daemon) tryRegister() error {
	ctx, cancel := context.WithTimeout(d.ctx, d.settings.Platform.CallTimeout)
	defer cancel()
	key := owner.VMKeyPrefix + d.self.Name
	former, err := d.store.Get(ctx, key, 0)
	if err != nil && !errs.Is(err, errs.NotFound) {
		return err
	}
	if err == nil {
		d.raiseIncarnation(former)
	}
	if err := d.startHeartbeats(); err != nil {
		return err
	}
	revision, err := d.writeRegistration(ctx, key, former.Version)
	if err != nil {
		return err
	}
	d.revision = revision
	return d.readEpochs(ctx)
}

// raiseIncarnation keeps the incarnation above the registered one when the
// VM's clock went back.
func (d *Daemon) raiseIncarnation(former objectstore.Object) {
	var vm model.VM
	if json.Unmarshal(former.Value, &vm) == nil && vm.Incarnation >= d.self.Incarnation {
		d.self.Incarnation = vm.Incarnation + 1
	}
}

// writeRegistration is conditional, so that two processes with one name cannot
// both register the same incarnation. A lost response leads to a conflict on
// the next attempt, which raises the incarnation.
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

// readEpochs raises the oldest accepted epoch of each group to what the store
// holds at a revision after the registration.
func (d *Daemon) readEpochs(ctx context.Context) error {
	objects, _, err := objectstore.ListAll(ctx, d.store, group.KeyPrefix, d.revision)
	if err != nil {
		return err
	}
	for _, object := range objects {
		record, err := group.DecodeRecord(object.Value)
		if err != nil {
			d.log.Error().Err(err).Str("key", object.Key).Msg("group record is unreadable")
			continue
		}
		if _, err := d.holdings.ConfirmEpoch(record.Group, record.Epoch); err != nil {
			return err
		}
	}
	return nil
}

// followRegistrations keeps the table of registrations current by a watch.
func (d *Daemon) followRegistrations(ctx context.Context) {
	revision := int64(0)
	for ctx.Err() == nil {
		next, err := d.readRegistrations(ctx, revision)
		if err != nil {
			pause.For(ctx, watchRetry/2+rand.N(watchRetry))
			continue
		}
		revision = next
		changes, err := d.store.Watch(ctx, owner.VMKeyPrefix, revision, watchWait)
		if err != nil {
			pause.For(ctx, watchRetry/2+rand.N(watchRetry))
			continue
		}
		revision = max(revision, changes.Revision)
	}
}

// readRegistrations reads all registrations. The store counts one call per
// page; registrations change with the replacement of VMs only.
func (d *Daemon) readRegistrations(ctx context.Context, minRevision int64) (int64, error) {
	objects, revision, err := objectstore.ListAll(ctx, d.store, owner.VMKeyPrefix, minRevision)
	if err != nil {
		return 0, err
	}
	all := make([]model.VM, 0, len(objects))
	for _, object := range objects {
		var vm model.VM
		if err := json.Unmarshal(object.Value, &vm); err != nil {
			d.log.Error().Err(err).Str("key", object.Key).Msg("registration is unreadable")
			continue
		}
		all = append(all, vm)
		if vm.Name == d.self.Name && vm.Incarnation > d.self.Incarnation {
			d.endSuperseded()
		}
	}
	d.members.setRegistrations(all)
	return revision, nil
}

// endSuperseded ends this process, because another one has registered the same
// VM later: peers count this incarnation as gone and its permits as abandoned,
// so it must not send requests any more.
func (d *Daemon) endSuperseded() {
	d.supersededOnce.Do(func() { close(d.superseded) })
}
