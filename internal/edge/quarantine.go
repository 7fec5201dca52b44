package edge

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"cicadaslip/internal/bootclock"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/gateway"
	"cicadaslip/internal/groupserver"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/quarantine"
	"cicadaslip/internal/rawjson"
)

const (
	// quarantineKey is the key of the object that keeps the quarantined parts for VMs that
	// start. It lies among the groups' objects, which all VMs follow anyway.
	quarantineKey = groupserver.Kind + "/quarantine"
	// quarantineStoreInterval is the time between checks whether the object is up to date.
	quarantineStoreInterval = 500 * time.Millisecond
	// quarantineStoreTimeout limits one read or write of the object.
	quarantineStoreTimeout = 1500 * time.Millisecond
)

// quarantineObject is the value of the object at quarantineKey.
type quarantineObject struct {
	Parts []quarantine.Quarantined `json:"parts"`
}

// quarantineKeeper joins the quarantine table to the rest of the daemon. It implements
// gateway.Quarantine.
type quarantineKeeper struct {
	*quarantine.Table
	d *Daemon

	mu     sync.Mutex
	stored objectstore.Object // as last seen, without a version if none was
	parts  []quarantine.Quarantined
}

var _ gateway.Quarantine = (*quarantineKeeper)(nil)

func newQuarantineKeeper(d *Daemon, incarnation uint64) *quarantineKeeper {
	k := &quarantineKeeper{d: d}
	k.Table = quarantine.New(quarantine.Options{
		Origin: d.settings.VM + "/" + strconv.FormatUint(incarnation, 36), Now: bootclock.Now, Wall: time.Now, Changed: k.changed,
	})
	return k
}

// changed logs and counts a part that was quarantined or released.
func (k *quarantineKeeper) changed(c quarantine.Change) {
	event := "part_released"
	if c.Blocked {
		event = "part_quarantined"
	}
	k.d.metrics.Count(metrics.EdgeQuarantines, event)
	k.d.log.Warn().Str(fieldEvent, event).Str(fieldService, c.Part.Service).Strs(fieldParts, []string{c.Part.ID}).
		Int(fieldCount, c.Crashes).Str(fieldRequest, c.Request).Send()
}

// TargetCrashed implements gateway.Quarantine.
func (k *quarantineKeeper) TargetCrashed(service, target string, parts []string, request string) {
	t, _ := k.d.usableTarget(target) // an unknown target has a zero start time
	k.Observe(quarantine.Break{
		Service: service, Crash: target + "/" + strconv.FormatInt(t.Born, 10), Parts: parts, Request: request,
	})
}

// setObject takes over the parts of the stored object. The next write replaces one that can't be
// decoded.
func (k *quarantineKeeper) setObject(o objectstore.Object) {
	var parts []quarantine.Quarantined
	if o.Invalid == nil {
		parts = decodeQuarantine(o.Value, func(err error) { k.d.ignoreObject("quarantine_ignored", o, err) })
	}
	k.mu.Lock()
	if o.Version > k.stored.Version {
		k.stored, k.parts = o, parts
	}
	k.mu.Unlock()
	k.Merge(quarantine.Delta{Quarantined: parts})
}

// decodeQuarantine returns the parts that can be used, and calls ignore with why another one, or
// the whole object, can't.
func decodeQuarantine(value []byte, ignore func(error)) (parts []quarantine.Quarantined) {
	var object struct {
		Parts json.RawMessage `json:"parts"`
	}
	if err := json.Unmarshal(value, &object); err != nil {
		ignore(errs.Wrap(err, errs.InvalidMessage, "decode the object of the quarantine"))
		return nil
	}
	if len(object.Parts) == 0 || string(object.Parts) == "null" {
		return nil
	}
	if err := rawjson.Array(object.Parts, func(element rawjson.Value) error {
		var q quarantine.Quarantined
		if err := json.Unmarshal(element.Raw, &q); err != nil {
			ignore(errs.Wrap(err, errs.InvalidMessage, "decode a quarantined part"))
		} else if !fleet.ValidName(q.Part.Service) || !fleet.ValidName(q.Part.ID) {
			ignore(errs.New(errs.InvalidMessage, "a quarantined part has no valid name"))
		} else {
			parts = append(parts, q)
		}
		return nil
	}); err != nil {
		ignore(err)
	}
	return parts
}

// missing returns the quarantined parts if the stored object lacks one of them.
func (k *quarantineKeeper) missing() ([]quarantine.Quarantined, int64) {
	active := k.Active()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !slices.ContainsFunc(active, func(q quarantine.Quarantined) bool { return !slices.Contains(k.parts, q) }) {
		return nil, 0
	}
	return active, k.stored.Version
}

// run keeps the stored object up to date while this VM owns a group. It returns when ctx
// ends.
func (k *quarantineKeeper) run(ctx context.Context) {
	for pause.For(ctx, quarantineStoreInterval) {
		if parts, version := k.missing(); len(parts) > 0 && k.d.groups.OwnsAny() {
			k.store(ctx, parts, version)
		}
	}
}

// store writes the quarantined parts. After a conflict it reads what another VM has
// written; the next check writes what that lacks.
func (k *quarantineKeeper) store(ctx context.Context, parts []quarantine.Quarantined, version int64) {
	ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
	defer cancel()
	value, err := json.Marshal(quarantineObject{Parts: parts})
	var object objectstore.Object
	if err == nil {
		if version == 0 {
			object, err = k.d.store.Create(ctx, quarantineKey, value)
		} else {
			object, err = k.d.store.Update(ctx, quarantineKey, value, version)
		}
	}
	k.d.recordStoreCall("quarantine", err)
	if errs.Is(err, errs.Conflict) {
		object, err = k.d.store.Get(ctx, quarantineKey, 0)
	}
	if err != nil {
		k.d.log.Warn().Err(err).Str(fieldEvent, "quarantine_not_stored").Send()
		return
	}
	k.setObject(objectstore.Object{Key: quarantineKey, Version: object.Version, Value: valueOr(object.Value, value), Invalid: object.Invalid})
}

// valueOr returns value, or fallback if a write returned the object without its value.
func valueOr(value, fallback []byte) []byte {
	if len(value) == 0 {
		return fallback
	}
	return value
}

// takeObject takes over the quarantine's object. It reports whether o is that
// object.
func (k *quarantineKeeper) takeObject(o objectstore.Object) bool {
	if o.Key != quarantineKey {
		return false
	}
	k.setObject(o)
	return true
}

// handleAbsence handles a list of the groups' objects at a position without the object. If
// the store was restored since the object was seen, the parts are to be stored again.
func (k *quarantineKeeper) handleAbsence(at objectstore.Position) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.Era() > objectstore.Position(k.stored.Version).Era() {
		k.stored, k.parts = objectstore.Object{}, nil
	}
}

// takeChange is like takeObject. An operator removes the object to end the quarantine of its
// parts.
func (k *quarantineKeeper) takeChange(c objectstore.Change) bool {
	if !c.Deleted || c.Object.Key != quarantineKey {
		return k.takeObject(c.Object)
	}
	k.mu.Lock()
	parts := k.parts
	k.stored, k.parts = objectstore.Object{}, nil
	k.mu.Unlock()
	for _, q := range parts {
		k.Release(q.Part)
	}
	return true
}
