package group_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/core"
	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore/memstore"
)

func TestMain(m *testing.M) {
	group.SetRetryDelay(time.Microsecond)
	m.Run()
}

// owner returns the identity of the i-th VM.
func owner(i int) model.Holder { return model.Holder{VM: fmt.Sprintf("vm-%d", i), Incarnation: 1} }

// Guards against two owners of one epoch, against a write of a former owner that
// takes effect after a takeover, and against a confirmed intent that is missing from
// the record after a lost response.
func TestRecordUnderFaultsAndRacingOwners(t *testing.T) {
	faults := []memstore.Fault{memstore.LoseResponse, memstore.LoseRequest, memstore.DelayWrite, memstore.Unavailable}
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		store := memstore.New()
		handles := map[int]*group.Handle{}
		newestEpoch := model.Epoch(0)
		confirmed := map[model.Epoch]uint64{} // ID of the last confirmed intent of each epoch
		for step := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			if rapid.IntRange(0, 2).Draw(rt, "fault") == 0 {
				store.Inject(memstore.Rule{Fault: rapid.SampledFrom(faults).Draw(rt, "kind"), Op: memstore.OpWrite, Count: 1})
			}
			vm := rapid.IntRange(0, 2).Draw(rt, "vm")
			switch rapid.IntRange(0, 2).Draw(rt, "action") {
			case 0:
				handle, _, err := group.TakeOver(ctx, store, "g", owner(vm))
				if err != nil {
					continue
				}
				if handle.Record().Epoch <= newestEpoch {
					rt.Fatalf("epoch %d was taken twice", handle.Record().Epoch)
				}
				newestEpoch = handle.Record().Epoch
				handles[vm] = handle
			case 1:
				if handle := handles[vm]; handle != nil {
					setIntentAndCheck(rt, ctx, store, handle, newestEpoch, confirmed, uint64(step+1))
				}
			case 2:
				store.ApplyDelayed(store.Delayed())
			}
		}
		store.ApplyDelayed(store.Delayed())
		object, err := store.Get(ctx, group.KeyPrefix+"g", 0)
		if err != nil {
			return
		}
		record, err := group.DecodeRecord(object.Value)
		if err != nil || record.Epoch < newestEpoch {
			rt.Fatalf("record has epoch %d, want at least %d: %v", record.Epoch, newestEpoch, err)
		}
		if last, ok := confirmed[record.Epoch]; ok && (len(record.Intents) != 1 || record.Intents[0].ID < last) {
			rt.Fatalf("confirmed intent %d is not in the record: %v", last, record.Intents)
		}
	})
}

// setIntentAndCheck writes an intent and fails the test if the handle of an earlier
// epoch succeeds.
func setIntentAndCheck(rt *rapid.T, ctx context.Context, store *memstore.Store, handle *group.Handle, newestEpoch model.Epoch, confirmed map[model.Epoch]uint64, id uint64) {
	store.ApplyDelayed(store.Delayed())
	epoch := handle.Record().Epoch
	err := handle.SetIntents(ctx, []core.Intent{{ID: id, Epoch: epoch}})
	if err == nil {
		if epoch != newestEpoch {
			rt.Fatalf("owner of epoch %d wrote after the takeover at %d", epoch, newestEpoch)
		}
		confirmed[epoch] = id
	}
}

// Guards against moving a target to another owner when a target is added.
func TestGroupDependsOnlyOnTheTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	target := func(i int) model.Target {
		return model.Target{Name: fmt.Sprintf("runner-%d", i), Class: model.ClassRunner, DataCentre: "riga", BaseModel: "base"}
	}
	var targets []model.Target
	before := map[string]string{}
	for i := range 50 {
		targets = append(targets, target(i))
		for _, listed := range group.FromListing(targets, 4) {
			for _, member := range listed.Targets {
				if want, ok := before[member.Name]; ok {
					g.Expect(listed.Name).To(gomega.Equal(want))
				}
				before[member.Name] = listed.Name
			}
		}
	}
}
