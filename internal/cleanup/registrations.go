package cleanup

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/owner"
)

// GoneVMsKey is the key of the object that records since when registered VMs
// are gone. It is stored so that the retention does not start again when
// another VM becomes responsible for the clean-up.
const GoneVMsKey = "cleanup/registrations"

// goneVM records since when a registered incarnation is gone.
type goneVM struct {
	Incarnation model.Incarnation `json:"incarnation"`
	Since       time.Time         `json:"since"`
}

// goneVMs is the content of the object GoneVMsKey.
type goneVMs struct {
	Writer model.Holder      `json:"writer"`
	Write  uint64            `json:"write_number"` // number of the write, incremented by each writer
	Gone   map[string]goneVM `json:"gone"`         // by VM name
}

// deleteRegistrations records which registered VMs are gone and deletes the
// registrations of those that have been recorded as gone for the retention. It
// deletes only in a pass that finds the record unchanged.
//
// A registration must not be deleted before its incarnation is gone: the
// takeover barrier waits for every registered VM to confirm the new epoch, so a
// VM without a registration could have permits that a new owner does not know
// of.
func (c *Cleaner) deleteRegistrations(ctx context.Context) error {
	objects, revision, err := objectstore.ListAll(ctx, c.Store, owner.VMKeyPrefix, 0)
	if err != nil {
		return err
	}
	recorded, version, err := c.readGoneVMs(ctx, revision)
	if err != nil {
		return err
	}
	gone := c.findGoneVMs(objects, recorded.Gone)
	if !maps.Equal(gone, recorded.Gone) {
		return c.writeGoneVMs(ctx, recorded, gone, version)
	}
	for _, object := range objects {
		vm, valid := parseRegistration(object)
		if !valid || !c.isExpired(vm, gone) {
			continue
		}
		if err := c.deleteUnchanged(ctx, object); err != nil {
			return err
		}
	}
	return nil
}

// parseRegistration decodes a registration and reports whether it is valid and
// its VM name matches the key.
func parseRegistration(object objectstore.Object) (model.VM, bool) {
	var vm model.VM
	err := json.Unmarshal(object.Value, &vm)
	return vm, err == nil && owner.VMKeyPrefix+vm.Name == object.Key
}

// readGoneVMs returns the recorded VMs that are gone and the version of their
// object, or version 0 if the object does not exist.
func (c *Cleaner) readGoneVMs(ctx context.Context, minRevision int64) (goneVMs, int64, error) {
	object, err := c.Store.Get(ctx, GoneVMsKey, minRevision)
	if errs.Is(err, errs.NotFound) {
		return goneVMs{}, 0, nil
	}
	if err != nil {
		return goneVMs{}, 0, err
	}
	var recorded goneVMs
	if err := json.Unmarshal(object.Value, &recorded); err != nil {
		return goneVMs{}, 0, errs.Wrap(err, errs.InvalidMessage, "decode the record of VMs that are gone")
	}
	return recorded, object.Version, nil
}

// findGoneVMs returns the registered VMs that are gone now. It keeps the times
// of incarnations that were already recorded; a VM that the platform lists
// again is left out.
func (c *Cleaner) findGoneVMs(objects []objectstore.Object, recorded map[string]goneVM) map[string]goneVM {
	gone := map[string]goneVM{}
	for _, object := range objects {
		vm, valid := parseRegistration(object)
		if !valid || !c.isGone(vm) {
			continue
		}
		entry, found := recorded[vm.Name]
		if !found || entry.Incarnation != vm.Incarnation {
			entry = goneVM{Incarnation: vm.Incarnation, Since: c.Now().UTC().Round(0)}
		}
		gone[vm.Name] = entry
	}
	return gone
}

// isGone reports whether the platform does not list the VM and its incarnation
// is confirmed gone.
func (c *Cleaner) isGone(vm model.VM) bool {
	return !c.Liveness.Listed(vm.Name) && c.Liveness.Gone(model.Holder{VM: vm.Name, Incarnation: vm.Incarnation})
}

// isExpired reports whether the VM is gone and was recorded as gone at least
// the retention ago.
func (c *Cleaner) isExpired(vm model.VM, gone map[string]goneVM) bool {
	entry, found := gone[vm.Name]
	return found && entry.Incarnation == vm.Incarnation && c.Now().Sub(entry.Since) >= c.Retention && c.isGone(vm)
}

func (c *Cleaner) writeGoneVMs(ctx context.Context, recorded goneVMs, gone map[string]goneVM, version int64) error {
	value, err := json.Marshal(goneVMs{Writer: c.Self, Write: recorded.Write + 1, Gone: gone})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the record of VMs that are gone")
	}
	return c.writeObject(ctx, GoneVMsKey, value, version)
}
