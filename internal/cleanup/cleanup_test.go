package cleanup_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/account"
	"cicadaslip/internal/cleanup"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/owner"
)

const retention = time.Hour

var ctx = context.Background()

// fixture runs cleaners over a memstore with a settable clock and a set of live
// VMs.
type fixture struct {
	store *memstore.Store
	now   time.Time
	live  map[string]model.Incarnation // incarnations of the VMs that are live and listed, by VM name
}

func newFixture() *fixture {
	return &fixture{store: memstore.New(), now: time.Unix(1_000_000, 0), live: map[string]model.Incarnation{}}
}

// Gone implements cleanup.Liveness.
func (f *fixture) Gone(h model.Holder) bool { return f.live[h.VM] != h.Incarnation }

// Listed implements cleanup.Liveness.
func (f *fixture) Listed(vm string) bool { return f.live[vm] != 0 }

// runOnce runs one pass of the cleaner of a VM.
func (f *fixture) runOnce(vm string) error {
	cleaner := cleanup.Cleaner{
		Self: model.Holder{VM: vm, Incarnation: 1}, Store: f.store, Liveness: f, Retention: retention,
		Now: func() time.Time { return f.now },
	}
	return cleaner.RunOnce(ctx)
}

func (f *fixture) put(t rapid.TB, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = f.store.Put(ctx, key, data); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) exists(key string) bool {
	_, err := f.store.Get(ctx, key, 0)
	return !errs.Is(err, errs.NotFound)
}

func (f *fixture) putUsage(t rapid.TB, holder model.Holder, count uint64) {
	f.put(t, account.Key(holder), account.Document{
		Holder: holder, Final: true, Rows: map[string]account.Row{"jegue": {account.GeneratedTokensCounter(account.Used): count}},
	})
}

// totalTokens returns the generated tokens on the used side, read in the order
// that the command line uses.
func (f *fixture) totalTokens(t rapid.TB) uint64 {
	var documents []account.Document
	for _, prefix := range []string{account.Prefix, account.RollupPrefix} {
		page, err := f.store.List(ctx, prefix, "", 1000, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, object := range page.Objects {
			if prefix == account.Prefix {
				document, _ := account.Parse(object.Value)
				documents = append(documents, document)
				continue
			}
			rollup, _ := account.ParseRollup(object.Value)
			documents = append(documents, rollup.Documents()...)
		}
	}
	report := account.Reconcile(documents, nil)
	if len(report.Organisations) == 0 {
		return 0
	}
	return report.Organisations[0].Used.GeneratedTokens
}

// Guards against counters that are lost or added twice because of lost
// responses, delayed writes, repeated passes, two concurrent cleaners or
// flushes that arrive before their document is folded.
func TestRollUpKeepsTheTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, want := newFixture(), uint64(0)
		for vm := range 2 {
			name := fmt.Sprintf("vm-%d", vm)
			last := rapid.IntRange(1, 2*account.MaxPending).Draw(t, "incarnations")
			for i := 1; i <= last; i++ {
				count := rapid.Uint64Range(0, 1000).Draw(t, "count")
				f.putUsage(t, model.Holder{VM: name, Incarnation: model.Incarnation(i)}, count)
				want += count
			}
			f.live[name] = model.Incarnation(last)
		}
		for range rapid.IntRange(1, 20).Draw(t, "passes") {
			fault := rapid.SampledFrom([]memstore.Fault{memstore.LoseResponse, memstore.LoseRequest, memstore.DelayWrite, memstore.Unavailable}).Draw(t, "fault")
			f.store.Inject(memstore.Rule{Fault: fault, Skip: rapid.IntRange(0, 12).Draw(t, "skip"), Count: 1, AfterCalls: 5})
			_ = f.runOnce(rapid.SampledFrom([]string{"vm-0", "vm-1"}).Draw(t, "cleaner"))
			f.store.ClearFaults()
			if got := f.totalTokens(t); got != want {
				t.Fatalf("total is %d, want %d", got, want)
			}
			f.now = f.now.Add(rapid.SampledFrom([]time.Duration{0, retention}).Draw(t, "pause"))
		}
		f.store.ApplyDelayed(0)
		for range 20 {
			if err := f.runOnce("vm-0"); err != nil {
				t.Fatal(err)
			}
			f.now = f.now.Add(retention)
		}
		page, _ := f.store.List(ctx, account.Prefix, "", 1000, 0)
		if got := f.totalTokens(t); got != want || len(page.Objects) != 2 {
			t.Fatalf("total is %d, want %d; %d documents remain, want those of the 2 live VMs", got, want, len(page.Objects))
		}
	})
}

// Guards against a document flushed after its incarnation was rolled up that is
// counted twice or deleted without being counted.
func TestLateDocumentsAreNotCountedTwice(t *testing.T) {
	g, f := gomega.NewWithT(t), newFixture()
	holder := model.Holder{VM: "vm-0", Incarnation: 1}
	f.putUsage(t, holder, 5)
	g.Expect(f.runOnce("vm-1")).To(gomega.Succeed())
	g.Expect(f.exists(account.Key(holder))).To(gomega.BeFalse())
	f.putUsage(t, holder, 7) // a peer writes its replica, which has newer counters
	g.Expect(f.runOnce("vm-1")).To(gomega.Succeed())
	g.Expect(f.totalTokens(t)).To(gomega.BeNumerically("==", 7))
	f.now = f.now.Add(retention)
	g.Expect(f.runOnce("vm-1")).To(gomega.Succeed())
	f.putUsage(t, holder, 9)
	g.Expect(f.runOnce("vm-1")).To(gomega.Succeed())
	g.Expect(f.totalTokens(t)).To(gomega.BeNumerically("==", 7))
	g.Expect(f.exists(account.Key(holder))).To(gomega.BeTrue(), "a document that cannot be added must be kept")
}

// Guards against a registration that is deleted while its VM may have permits,
// and against one that is never deleted.
func TestRegistrationsOfGoneVMs(t *testing.T) {
	g, f := gomega.NewWithT(t), newFixture()
	f.live = map[string]model.Incarnation{"vm-live": 1, "vm-back": 1}
	for _, vm := range []string{"vm-live", "vm-back", "vm-gone"} {
		f.put(t, owner.VMKeyPrefix+vm, model.VM{Name: vm, Incarnation: 1})
	}
	delete(f.live, "vm-back")
	g.Expect(f.runOnce("vm-live")).To(gomega.Succeed())
	f.now = f.now.Add(retention - 1)
	g.Expect(f.runOnce("vm-live")).To(gomega.Succeed())
	g.Expect(f.exists(owner.VMKeyPrefix+"vm-gone")).To(gomega.BeTrue(), "the retention has not passed")
	f.live["vm-back"] = 2
	f.put(t, owner.VMKeyPrefix+"vm-back", model.VM{Name: "vm-back", Incarnation: 2})
	f.now = f.now.Add(1)
	f.store.Inject(memstore.Rule{Fault: memstore.LoseResponse, Op: memstore.OpDelete, Count: 1})
	for range 3 { // records the VMs that are gone, loses the response to the deletion, repeats it
		_ = f.runOnce("vm-other")
	}
	g.Expect(f.exists(owner.VMKeyPrefix + "vm-gone")).To(gomega.BeFalse())
	f.now = f.now.Add(2 * retention)
	for range 3 {
		g.Expect(f.runOnce("vm-live")).To(gomega.Succeed())
	}
	g.Expect(f.exists(owner.VMKeyPrefix + "vm-back")).To(gomega.BeTrue())
	g.Expect(f.exists(owner.VMKeyPrefix + "vm-live")).To(gomega.BeTrue())
}
