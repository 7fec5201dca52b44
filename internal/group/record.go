package group

import (
	"context"
	"encoding/json"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/pause"
)

// KeyPrefix is the store prefix of the groups' records.
const KeyPrefix = "groups/"

// Record is the durable state of a group.
type Record struct {
	Group       string        `json:"group"`
	Owner       model.Holder  `json:"owner"`
	Epoch       model.Epoch   `json:"epoch"`
	WriteNumber uint64        `json:"write_number"`
	Intents     []core.Intent `json:"intents"` // unresolved, of this and former epochs
}

// DecodeRecord parses a record as it is in the store.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errs.Wrap(err, errs.InvalidMessage, "decode group record")
	}
	if record.Group == "" || record.Epoch == 0 {
		return Record{}, errs.New(errs.InvalidMessage, "group record without group or epoch")
	}
	return record, nil
}

// sameWrite reports whether two records are the same write of the same owner.
func sameWrite(a, b Record) bool {
	return a.Owner == b.Owner && a.Epoch == b.Epoch && a.WriteNumber == b.WriteNumber
}

// retryPause is the pause between attempts of a write whose result is unknown.
var retryPause = 50 * time.Millisecond

// Handle is the record of a group that this VM owns. It is not safe for
// concurrent use.
type Handle struct {
	store    objectstore.Store
	record   Record
	version  int64
	revision int64
}

// TakeOver makes self the owner at the next epoch. It returns the handle and
// the record as it was before the takeover.
func TakeOver(ctx context.Context, store objectstore.Store, name string, self model.Holder) (*Handle, Record, error) {
	former, version, err := read(ctx, store, name)
	if err != nil {
		return nil, Record{}, err
	}
	next := Record{Group: name, Owner: self, Epoch: former.Epoch + 1, WriteNumber: 1, Intents: former.Intents}
	handle := &Handle{store: store, record: next, version: version}
	object, err := handle.write(ctx, next)
	if err != nil {
		return nil, Record{}, err
	}
	handle.accept(next, object)
	return handle, former, nil
}

// read returns the current record, or an empty record with version 0.
func read(ctx context.Context, store objectstore.Store, name string) (Record, int64, error) {
	object, err := store.Get(ctx, KeyPrefix+name, 0)
	if errs.Is(err, errs.NotFound) {
		return Record{Group: name}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	record, err := DecodeRecord(object.Value)
	return record, object.Version, err
}

// Record returns the record as last written.
func (h *Handle) Record() Record { return h.record }

// Revision returns the store's revision of the last write.
func (h *Handle) Revision() int64 { return h.revision }

// SetIntents replaces the unresolved intents. errs.NotOwner means that another
// VM has taken the group over; errs.StoreUnavailable that nothing was written.
func (h *Handle) SetIntents(ctx context.Context, intents []core.Intent) error {
	next := h.record
	next.WriteNumber++
	next.Intents = intents
	object, err := h.write(ctx, next)
	if err != nil {
		return err
	}
	h.accept(next, object)
	return nil
}

func (h *Handle) accept(record Record, object objectstore.Object) {
	h.record = record
	h.version = object.Version
	h.revision = object.Revision
}

// write performs one conditional write and resolves lost responses. A write
// whose result is unknown is repeated with the same condition: if an earlier
// attempt took effect, the repetition conflicts and the read back shows it.
func (h *Handle) write(ctx context.Context, next Record) (objectstore.Object, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return objectstore.Object{}, errs.Wrap(err, errs.Internal, "encode group record")
	}
	uncertain := false
	for {
		object, err := h.attempt(ctx, value)
		switch {
		case err == nil:
			return object, nil
		case errs.Is(err, errs.Conflict):
			return h.resolve(ctx, next)
		case errs.Is(err, errs.StoreAmbiguous):
			uncertain = true
		case errs.Is(err, errs.StoreUnavailable) && !uncertain:
			return objectstore.Object{}, err
		case !errs.Is(err, errs.StoreUnavailable):
			return objectstore.Object{}, err
		}
		if !pause.For(ctx, retryPause) {
			return objectstore.Object{}, errs.New(errs.StoreAmbiguous, "group record write not confirmed")
		}
	}
}

func (h *Handle) attempt(ctx context.Context, value []byte) (objectstore.Object, error) {
	key := KeyPrefix + h.record.Group
	if h.version == 0 {
		return h.store.Create(ctx, key, value)
	}
	return h.store.Update(ctx, key, value, h.version)
}

// resolve reads the record after a conflict. A stale read is recognised by its
// version: a conflict proves that the current version is above the expected one.
func (h *Handle) resolve(ctx context.Context, next Record) (objectstore.Object, error) {
	for {
		object, err := h.store.Get(ctx, KeyPrefix+h.record.Group, 0)
		if err == nil && object.Version > h.version {
			record, err := DecodeRecord(object.Value)
			if err != nil {
				return objectstore.Object{}, err
			}
			if sameWrite(record, next) {
				return object, nil
			}
			return objectstore.Object{}, errs.New(errs.NotOwner, "group was taken over by "+record.Owner.VM)
		}
		if !pause.For(ctx, retryPause) {
			return objectstore.Object{}, errs.New(errs.StoreAmbiguous, "group record not read back")
		}
	}
}
