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

// MarksKey is the key of the object that holds since when registered VMs are
// gone. It is stored so that the retention does not start again whenever the duty
// moves to another VM.
const MarksKey = "cleanup/registrations"

// mark says since when a registered incarnation is gone.
type mark struct {
	Incarnation model.Incarnation `json:"incarnation"`
	Since       time.Time         `json:"since"`
}

type marks struct {
	Writer model.Holder    `json:"writer"`
	Write  uint64          `json:"write_number"`
	Gone   map[string]mark `json:"gone"` // by VM
}

// registrations marks registered VMs that are gone and deletes registrations
// that have been marked for the retention.
//
// A registration must not be deleted while its incarnation is not gone: the
// takeover barrier waits for every registered VM to confirm the new epoch, so a
// VM without a registration could hold permits that a new owner does not know of.
func (c *Cleaner) registrations(ctx context.Context) error {
	objects, revision, err := objectstore.ListAll(ctx, c.Store, owner.VMKeyPrefix, 0)
	if err != nil {
		return err
	}
	known, version, err := c.marks(ctx, revision)
	if err != nil {
		return err
	}
	gone := c.gone(objects, known.Gone)
	if !maps.Equal(gone, known.Gone) {
		return c.writeMarks(ctx, known, gone, version)
	}
	for _, object := range objects {
		vm, readable := registration(object)
		if !readable || !c.due(vm, gone) {
			continue
		}
		if err := c.remove(ctx, object); err != nil {
			return err
		}
	}
	return nil
}

func registration(object objectstore.Object) (model.VM, bool) {
	var vm model.VM
	err := json.Unmarshal(object.Value, &vm)
	return vm, err == nil && owner.VMKeyPrefix+vm.Name == object.Key
}

// marks returns the stored marks and the version of their object.
func (c *Cleaner) marks(ctx context.Context, minRevision int64) (marks, int64, error) {
	object, err := c.Store.Get(ctx, MarksKey, minRevision)
	if errs.Is(err, errs.NotFound) {
		return marks{}, 0, nil
	}
	if err != nil {
		return marks{}, 0, err
	}
	var known marks
	if err := json.Unmarshal(object.Value, &known); err != nil {
		return marks{}, 0, errs.Wrap(err, errs.InvalidMessage, "decode the marks of gone VMs")
	}
	return known, object.Version, nil
}

// gone returns the marks that hold now. A VM that is listed again loses its mark.
func (c *Cleaner) gone(objects []objectstore.Object, known map[string]mark) map[string]mark {
	gone := map[string]mark{}
	for _, object := range objects {
		vm, readable := registration(object)
		if !readable || !c.isGone(vm) {
			continue
		}
		m, marked := known[vm.Name]
		if !marked || m.Incarnation != vm.Incarnation {
			m = mark{Incarnation: vm.Incarnation, Since: c.Now().UTC().Round(0)}
		}
		gone[vm.Name] = m
	}
	return gone
}

func (c *Cleaner) isGone(vm model.VM) bool {
	return !c.Liveness.Listed(vm.Name) && c.Liveness.Gone(model.Holder{VM: vm.Name, Incarnation: vm.Incarnation})
}

func (c *Cleaner) due(vm model.VM, gone map[string]mark) bool {
	m, marked := gone[vm.Name]
	return marked && m.Incarnation == vm.Incarnation && c.Now().Sub(m.Since) >= c.Retention && c.isGone(vm)
}

func (c *Cleaner) writeMarks(ctx context.Context, known marks, gone map[string]mark, version int64) error {
	value, err := json.Marshal(marks{Writer: c.Self, Write: known.Write + 1, Gone: gone})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the marks of gone VMs")
	}
	return c.write(ctx, MarksKey, value, version)
}
