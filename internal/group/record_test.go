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
	group.SetRetryPause(time.Microsecond)
	m.Run()
}

func owner(i int) model.Holder { return model.Holder{VM: fmt.Sprintf("vm-%d", i), Incarnation: 1} }

// Guards against two owners of one epoch, a former owner whose write takes
// effect after a takeover, and intents lost with a lost response.
func TestRecordUnderFaultsAndRacingOwners(t *testing.T) {
	faults := []memstore.Fault{memstore.LoseResponse, memstore.LoseRequest, memstore.DelayWrite, memstore.Unavailable}
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		store := memstore.New()
		handles := map[int]*group.Handle{}
		newest := model.Epoch(0)
		stored := map[model.Epoch]uint64{} // last intent confirmed by epoch
		for step := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			if rapid.IntRange(0, 2).Draw(rt, "fault") == 0 {
				store.Inject(memstore.Rule{Fault: rapid.SampledFrom(faults).Draw(rt, "kind"), Op: memstore.OpWrite, Count: 1})
			}
			who := rapid.IntRange(0, 2).Draw(rt, "who")
			switch rapid.IntRange(0, 2).Draw(rt, "action") {
			case 0:
				handle, _, err := group.TakeOver(ctx, store, "g", owner(who))
				if err != nil {
					continue
				}
				if handle.Record().Epoch <= newest {
					rt.Fatalf("epoch %d was taken twice", handle.Record().Epoch)
				}
				newest = handle.Record().Epoch
				handles[who] = handle
			case 1:
				if handle := handles[who]; handle != nil {
					checkWrite(rt, ctx, store, handle, newest, stored, uint64(step+1))
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
		if err != nil || record.Epoch < newest {
			rt.Fatalf("record went back to epoch %d from %d: %v", record.Epoch, newest, err)
		}
		if last, ok := stored[record.Epoch]; ok && (len(record.Intents) != 1 || record.Intents[0].ID < last) {
			rt.Fatalf("confirmed intent %d is not in the record: %v", last, record.Intents)
		}
	})
}

func checkWrite(rt *rapid.T, ctx context.Context, store *memstore.Store, handle *group.Handle, newest model.Epoch, stored map[model.Epoch]uint64, id uint64) {
	store.ApplyDelayed(store.Delayed())
	epoch := handle.Record().Epoch
	err := handle.SetIntents(ctx, []core.Intent{{ID: id, Epoch: epoch}})
	if err == nil {
		if epoch != newest {
			rt.Fatalf("owner of epoch %d wrote after the takeover at %d", epoch, newest)
		}
		stored[epoch] = id
	}
}

// Guards against adding a target that moves another target to a new owner.
func TestGroupOfTargetDependsOnTheTargetOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	target := func(i int) model.Target {
		return model.Target{Name: fmt.Sprintf("runner-%d", i), Class: model.ClassRunner, DataCentre: "riga", BaseModel: "base"}
	}
	var targets []model.Target
	before := map[string]string{}
	for i := range 50 {
		targets = append(targets, target(i))
		for _, entry := range group.FromListing(targets, 4) {
			for _, member := range entry.Targets {
				if known, ok := before[member.Name]; ok {
					g.Expect(entry.Name).To(gomega.Equal(known))
				}
				before[member.Name] = entry.Name
			}
		}
	}
}
