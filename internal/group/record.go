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

// KeyPrefix is the prefix of the store keys of group records. The name of the group
// follows it.
const KeyPrefix = "groups/"

// Record is the state of a group that is kept in the store.
type Record struct {
	Group       string        `json:"group"` // name of the group
	Owner       model.Holder  `json:"owner"`
	Epoch       model.Epoch   `json:"epoch"`        // increases by one with each takeover
	WriteNumber uint64        `json:"write_number"` // number of the write within the epoch, from 1
	Intents     []core.Intent `json:"intents"`      // unresolved intents of this epoch and of earlier ones
}

// DecodeRecord parses a record from the value of its object in the store.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errs.Wrap(err, errs.InvalidMessage, "decode group record")
	}
	if record.Group == "" || record.Epoch == 0 {
		return Record{}, errs.New(errs.InvalidMessage, "group record has no group or no epoch")
	}
	return record, nil
}

// sameWrite reports whether two records come from the same write by the same owner.
func sameWrite(a, b Record) bool {
	return a.Owner == b.Owner && a.Epoch == b.Epoch && a.WriteNumber == b.WriteNumber
}

// retryDelay is the delay between the attempts of a write whose result is unknown.
var retryDelay = 50 * time.Millisecond

// Handle holds the last written record of a group that this VM owns, and writes new
// versions of it. It is not safe for concurrent use.
type Handle struct {
	store    objectstore.Store
	record   Record
	version  int64 // version of the record's object; 0 if the object does not exist yet
	revision int64 // revision of the store at the last write
}

// TakeOver makes self the owner of the group at the next epoch. It returns the
// handle and the record as it was before the takeover.
func TakeOver(ctx context.Context, store objectstore.Store, name string, self model.Holder) (*Handle, Record, error) {
	previous, version, err := readRecord(ctx, store, name)
	if err != nil {
		return nil, Record{}, err
	}
	next := Record{Group: name, Owner: self, Epoch: previous.Epoch + 1, WriteNumber: 1, Intents: previous.Intents}
	handle := &Handle{store: store, record: next, version: version}
	object, err := handle.write(ctx, next)
	if err != nil {
		return nil, Record{}, err
	}
	handle.setWritten(next, object)
	return handle, previous, nil
}

// readRecord returns the record and its object's version, or an empty record and
// version 0 if the group has no record.
func readRecord(ctx context.Context, store objectstore.Store, name string) (Record, int64, error) {
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

// Revision returns the revision of the store at the last write.
func (h *Handle) Revision() int64 { return h.revision }

// SetIntents writes the record with the given unresolved intents. It returns
// errs.NotOwner if another VM has taken the group over, and errs.StoreUnavailable if
// nothing was written.
func (h *Handle) SetIntents(ctx context.Context, intents []core.Intent) error {
	next := h.record
	next.WriteNumber++
	next.Intents = intents
	object, err := h.write(ctx, next)
	if err != nil {
		return err
	}
	h.setWritten(next, object)
	return nil
}

// setWritten makes a confirmed write the current state of the handle.
func (h *Handle) setWritten(record Record, object objectstore.Object) {
	h.record = record
	h.version = object.Version
	h.revision = object.Revision
}

// write writes a record conditionally and determines the result if a response was
// lost. It repeats a write whose result is unknown with the same condition. If an
// earlier attempt took effect, the repetition fails with a conflict, and reading the
// record back shows the earlier write.
func (h *Handle) write(ctx context.Context, next Record) (objectstore.Object, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return objectstore.Object{}, errs.Wrap(err, errs.Internal, "encode group record")
	}
	mayHaveTakenEffect := false
	for {
		object, err := h.writeOnce(ctx, value)
		switch {
		case err == nil:
			return object, nil
		case errs.Is(err, errs.Conflict):
			return h.resolveConflict(ctx, next)
		case errs.Is(err, errs.StoreAmbiguous):
			mayHaveTakenEffect = true
		case errs.Is(err, errs.StoreUnavailable) && !mayHaveTakenEffect:
			return objectstore.Object{}, err
		case !errs.Is(err, errs.StoreUnavailable):
			return objectstore.Object{}, err
		}
		if !pause.For(ctx, retryDelay) {
			return objectstore.Object{}, errs.New(errs.StoreAmbiguous, "group record write was not confirmed before its context ended")
		}
	}
}

// writeOnce creates the record, or updates it if it exists.
func (h *Handle) writeOnce(ctx context.Context, value []byte) (objectstore.Object, error) {
	key := KeyPrefix + h.record.Group
	if h.version == 0 {
		return h.store.Create(ctx, key, value)
	}
	return h.store.Update(ctx, key, value, h.version)
}

// resolveConflict reads the record after a conflict. It returns the object if an
// earlier attempt wrote next, and errs.NotOwner otherwise. It repeats a stale read,
// which it recognises by its version: the conflict proves that the current version
// is greater than the expected one.
func (h *Handle) resolveConflict(ctx context.Context, next Record) (objectstore.Object, error) {
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
			return objectstore.Object{}, errs.New(errs.NotOwner, "group was taken over by VM "+record.Owner.VM)
		}
		if !pause.For(ctx, retryDelay) {
			return objectstore.Object{}, errs.New(errs.StoreAmbiguous, "group record was not read back after a conflict before the context ended")
		}
	}
}
