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

// world is a cleaner over memstore with a clock and a set of living VMs.
type world struct {
	store *memstore.Store
	now   time.Time
	alive map[string]model.Incarnation // of listed VMs
}

func newWorld() *world {
	return &world{store: memstore.New(), now: time.Unix(1_000_000, 0), alive: map[string]model.Incarnation{}}
}

// Gone implements cleanup.Liveness.
func (w *world) Gone(h model.Holder) bool { return w.alive[h.VM] != h.Incarnation }

// Listed implements cleanup.Liveness.
func (w *world) Listed(vm string) bool { return w.alive[vm] != 0 }

func (w *world) pass(vm string) error {
	cleaner := cleanup.Cleaner{
		Self: model.Holder{VM: vm, Incarnation: 1}, Store: w.store, Liveness: w, Retention: retention,
		Now: func() time.Time { return w.now },
	}
	return cleaner.Pass(ctx)
}

func (w *world) put(t rapid.TB, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = w.store.Put(ctx, key, data); err != nil {
		t.Fatal(err)
	}
}

func (w *world) exists(key string) bool {
	_, err := w.store.Get(ctx, key, 0)
	return !errs.Is(err, errs.NotFound)
}

func (w *world) putUsage(t rapid.TB, holder model.Holder, count uint64) {
	w.put(t, account.Key(holder), account.Document{
		Holder: holder, Final: true, Rows: map[string]account.Row{"jegue": {account.GeneratedTokensCounter(account.Used): count}},
	})
}

// total reads the account as the command line does.
func (w *world) total(t rapid.TB) uint64 {
	var documents []account.Document
	for _, prefix := range []string{account.Prefix, account.RollupPrefix} {
		page, err := w.store.List(ctx, prefix, "", 1000, 0)
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

// Guards against counters that are lost or added twice by lost responses,
// delayed writes, repeated passes, two cleaners and late flushes before the fold.
func TestRollUpKeepsTheTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, want := newWorld(), uint64(0)
		for vm := range 2 {
			name := fmt.Sprintf("vm-%d", vm)
			last := rapid.IntRange(1, 2*account.MaxPending).Draw(t, "incarnations")
			for i := 1; i <= last; i++ {
				count := rapid.Uint64Range(0, 1000).Draw(t, "count")
				w.putUsage(t, model.Holder{VM: name, Incarnation: model.Incarnation(i)}, count)
				want += count
			}
			w.alive[name] = model.Incarnation(last)
		}
		for range rapid.IntRange(1, 20).Draw(t, "passes") {
			fault := rapid.SampledFrom([]memstore.Fault{memstore.LoseResponse, memstore.LoseRequest, memstore.DelayWrite, memstore.Unavailable}).Draw(t, "fault")
			w.store.Inject(memstore.Rule{Fault: fault, Skip: rapid.IntRange(0, 12).Draw(t, "skip"), Count: 1, AfterCalls: 5})
			_ = w.pass(rapid.SampledFrom([]string{"vm-0", "vm-1"}).Draw(t, "cleaner"))
			w.store.ClearFaults()
			if got := w.total(t); got != want {
				t.Fatalf("total is %d, want %d", got, want)
			}
			w.now = w.now.Add(rapid.SampledFrom([]time.Duration{0, retention}).Draw(t, "pause"))
		}
		w.store.ApplyDelayed(0)
		for range 20 {
			if err := w.pass("vm-0"); err != nil {
				t.Fatal(err)
			}
			w.now = w.now.Add(retention)
		}
		page, _ := w.store.List(ctx, account.Prefix, "", 1000, 0)
		if got := w.total(t); got != want || len(page.Objects) != 2 {
			t.Fatalf("total is %d, want %d; %d documents, want those of 2 living VMs", got, want, len(page.Objects))
		}
	})
}

// Guards against a late flush that is counted twice or hidden.
func TestLateDocuments(t *testing.T) {
	g, w := gomega.NewWithT(t), newWorld()
	holder := model.Holder{VM: "vm-0", Incarnation: 1}
	w.putUsage(t, holder, 5)
	g.Expect(w.pass("vm-1")).To(gomega.Succeed())
	g.Expect(w.exists(account.Key(holder))).To(gomega.BeFalse())
	w.putUsage(t, holder, 7) // a peer held more than the store had
	g.Expect(w.pass("vm-1")).To(gomega.Succeed())
	g.Expect(w.total(t)).To(gomega.BeNumerically("==", 7))
	w.now = w.now.Add(retention)
	g.Expect(w.pass("vm-1")).To(gomega.Succeed())
	w.putUsage(t, holder, 9)
	g.Expect(w.pass("vm-1")).To(gomega.Succeed())
	g.Expect(w.total(t)).To(gomega.BeNumerically("==", 7))
	g.Expect(w.exists(account.Key(holder))).To(gomega.BeTrue(), "what cannot be added stays visible")
}

// Guards against a registration that is deleted while its VM may hold permits,
// and against one that is never deleted.
func TestRegistrationsOfGoneVMs(t *testing.T) {
	g, w := gomega.NewWithT(t), newWorld()
	w.alive = map[string]model.Incarnation{"vm-live": 1, "vm-back": 1}
	for _, vm := range []string{"vm-live", "vm-back", "vm-gone"} {
		w.put(t, owner.VMKeyPrefix+vm, model.VM{Name: vm, Incarnation: 1})
	}
	delete(w.alive, "vm-back")
	g.Expect(w.pass("vm-live")).To(gomega.Succeed())
	w.now = w.now.Add(retention - 1)
	g.Expect(w.pass("vm-live")).To(gomega.Succeed())
	g.Expect(w.exists(owner.VMKeyPrefix+"vm-gone")).To(gomega.BeTrue(), "the retention has not passed")
	w.alive["vm-back"] = 2
	w.put(t, owner.VMKeyPrefix+"vm-back", model.VM{Name: "vm-back", Incarnation: 2})
	w.now = w.now.Add(1)
	w.store.Inject(memstore.Rule{Fault: memstore.LoseResponse, Op: memstore.OpDelete, Count: 1})
	for range 3 { // the marks change, the deletion's response is lost, it is repeated
		_ = w.pass("vm-other")
	}
	g.Expect(w.exists(owner.VMKeyPrefix + "vm-gone")).To(gomega.BeFalse())
	w.now = w.now.Add(2 * retention)
	for range 3 {
		g.Expect(w.pass("vm-live")).To(gomega.Succeed())
	}
	g.Expect(w.exists(owner.VMKeyPrefix + "vm-back")).To(gomega.BeTrue())
	g.Expect(w.exists(owner.VMKeyPrefix + "vm-live")).To(gomega.BeTrue())
}
