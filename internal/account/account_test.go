package account

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

var background = context.Background()

func (n *node) recordUsed(id, organisation string, tokens int) {
	n.ledger.RecordUsed(model.RequestID(id), organisation, "chat", core.OutcomeDone, core.Usage{PromptTokens: 1, GeneratedTokens: tokens})
}

func (n *node) recordGiven(id, organisation string, tokens int, entry *node) {
	n.ledger.RecordGiven(core.RecordGiven{
		ID: model.RequestID(id), Holder: entry.ledger.self, Organisation: organisation,
		Outcome: core.OutcomeDone, Usage: core.Usage{PromptTokens: 1, GeneratedTokens: tokens},
	})
}

// Guards against a report that omits a request that only the entry VM or only the
// owner recorded, or whose two records differ, or that lists a request whose records
// are equal.
func TestReportListsDifferences(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(2, Bounds{})
	a, b := c.nodes[0], c.nodes[1]
	a.recordUsed("both", "o", 10)
	b.recordGiven("both", "o", 10, a)
	a.recordUsed("hedged", "o", 7) // two attempts with different owners
	b.recordGiven("hedged", "o", 2, a)
	a.recordGiven("hedged", "o", 7, a)
	a.recordUsed("hedged", "o", 2)
	a.recordUsed("only used", "o", 1)
	b.recordGiven("only given", "o", 2, a)
	a.recordUsed("unequal", "o", 3)
	b.recordGiven("unequal", "o", 4, a)
	a.recordUsed("no holder", "o", 0) // matched only by Reconcile
	b.ledger.RecordGiven(core.RecordGiven{ID: "no holder", Organisation: "o", Outcome: core.OutcomeDone, Usage: core.Usage{PromptTokens: 1}})
	b.ledger.RecordGiven(core.RecordGiven{ID: "never sent", Holder: a.ledger.self, Organisation: "o", Outcome: core.OutcomeNotSent})
	early := c.report()
	g.Expect(early.Organisations[0].Differences).To(gomega.BeEmpty())
	g.Expect(early.Organisations[0].Settling).To(gomega.Equal(4), "no entry was sent to its entry VM yet")
	c.exchangeUntilSettled()
	report := c.report()
	g.Expect(report.Complete()).To(gomega.BeTrue())
	o := report.Organisations[0]
	g.Expect(o.Used.GeneratedTokens).To(gomega.BeNumerically("==", 23))
	g.Expect(o.Given.GeneratedTokens).To(gomega.BeNumerically("==", 25))
	g.Expect(o.Given.Requests).To(gomega.Equal(map[core.Outcome]uint64{core.OutcomeDone: 6, core.OutcomeNotSent: 1}))
	g.Expect(o.Differences).To(gomega.HaveExactElements(
		gomega.HaveField("Request", model.RequestID("only given")),
		gomega.HaveField("Request", model.RequestID("only used")),
		gomega.HaveField("Request", model.RequestID("unequal"))))
}

// Guards against the loss of counters that a peer has replicated, when the
// store is down until after the VM is gone.
func TestPeersWriteCountersOfGoneVM(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(3, Bounds{})
	a := c.nodes[0]
	c.store.down = true
	a.recordUsed("r", "o", 5)
	g.Expect(a.flusher.Flush(background)).NotTo(gomega.Succeed())
	g.Expect(a.flusher.Exchange(background)).To(gomega.Succeed())
	a.dead, c.nodes[1].dead = true, true
	c.exchangeUntilSettled()
	stored, err := Parse(c.store.objects["usage/a/1"].Value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stored.Rows["o"][GeneratedTokensCounter(Used)]).To(gomega.BeNumerically("==", 5))
	g.Expect(stored.Writer).To(gomega.Equal(c.nodes[2].ledger.self))
	g.Expect(c.nodes[2].ledger.replicaDocuments()).To(gomega.BeEmpty())
	g.Expect(c.report().Unclean).To(gomega.ContainElement(a.ledger.self), "later records may be missing")
}

// Guards against a delayed write of a VM that is gone that overwrites newer
// counters with older ones, and against a clean shutdown that is reported as a
// loss.
func TestDelayedWriteKeepsNewerCounters(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(2, Bounds{})
	a := c.nodes[0]
	g.Expect(a.flusher.Flush(background)).To(gomega.Succeed())
	old := c.store.objects["usage/a/1"]
	a.recordUsed("r", "o", 5)
	c.store.responsesToLose = 1 // the retry finds the write in the store and does not repeat it
	g.Expect(a.flusher.Flush(background)).To(gomega.Succeed())
	g.Expect(c.store.objects["usage/a/1"].Version).To(gomega.Equal(old.Version + 1))
	g.Expect(a.flusher.Finish(background)).To(gomega.Succeed())
	_, err := c.store.Update(background, old.Key, old.Value, old.Version)
	g.Expect(errs.Is(err, errs.Conflict)).To(gomega.BeTrue())
	a.dead = true
	g.Expect(c.report().Unclean).To(gomega.BeEmpty())
	g.Expect(c.report().Organisations[0].Used.GeneratedTokens).To(gomega.BeNumerically("==", 5))
}

// Guards against an incarnation that is lost with all its records and is
// missing from the report.
func TestRunWritesEmptyDocumentAtStart(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(1, Bounds{})
	ctx, cancel := context.WithCancel(background)
	cancel()
	c.nodes[0].flusher.Run(ctx, func(err error) { t.Error(err) })
	c.nodes[0].dead = true
	g.Expect(c.report().Unclean).To(gomega.ConsistOf(c.nodes[0].ledger.self))
}

// Guards against unbounded memory and against entries dropped at a bound that
// the report does not count.
func TestReportCountsEntriesDroppedAtBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(2, Bounds{OpenRequests: 2, OutboxEntries: 2, Organisations: 1})
	a, b := c.nodes[0], c.nodes[1]
	for i := range 5 {
		a.recordUsed(fmt.Sprint("u", i), "o", 1)
		b.recordGiven(fmt.Sprint("g", i), "o", 1, a)
	}
	a.recordUsed("other", "second", 1)
	c.exchangeUntilSettled()
	report := c.report()
	g.Expect(a.ledger.OpenCount()).To(gomega.Equal(2))
	rows := map[string]OrganisationUsage{}
	for _, o := range report.Organisations {
		rows[o.Organisation] = o
	}
	// Six used and two given entries compete for two open requests; three given
	// entries did not fit into the outbox.
	g.Expect(rows["o"].Dropped + rows[OtherOrganisations].Dropped).To(gomega.BeNumerically("==", 6+3))
	g.Expect(rows["o"].Used.GeneratedTokens).To(gomega.BeNumerically("==", 5))
	g.Expect(rows["o"].Given.GeneratedTokens).To(gomega.BeNumerically("==", 5))
	g.Expect(rows[OtherOrganisations].Used.GeneratedTokens).To(gomega.BeNumerically("==", 1))

	for i := range MaxReplicas - 1 { // b has sent its replica as well
		g.Expect(a.ledger.StoreReplica(newDocument(model.Holder{VM: fmt.Sprint(i), Incarnation: 1}))).To(gomega.Succeed())
	}
	g.Expect(errs.Is(a.ledger.StoreReplica(newDocument(model.Holder{VM: "x"})), errs.Overloaded)).To(gomega.BeTrue())
	big := newDocument(model.Holder{VM: "1", Incarnation: 1})
	for i := range MaxOrganisations + 2 {
		big.Rows[fmt.Sprint(i)] = Row{}
	}
	g.Expect(errs.Is(a.ledger.StoreReplica(big), errs.TooLarge)).To(gomega.BeTrue())
}

// Guards against a batch for an earlier incarnation that is added to the ledger
// of the current one, and against a repeated batch that counts twice.
func TestRepeatedBatchCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(2, Bounds{})
	a, b := c.nodes[0], c.nodes[1]
	b.recordGiven("r", "o", 1, a)
	batch, ok := b.ledger.nextBatch(a.ledger.self)
	g.Expect(ok).To(gomega.BeTrue())
	for range 2 {
		g.Expect(a.ledger.ReceiveBatch(batch)).To(gomega.Succeed())
	}
	a.recordUsed("r", "o", 1)
	g.Expect(a.ledger.OpenCount()).To(gomega.BeZero())
	batch.To.Incarnation++
	g.Expect(errs.Is(a.ledger.ReceiveBatch(batch), errs.StaleEpoch)).To(gomega.BeTrue())
}

// recorded is what a random run has recorded.
type recorded struct {
	tokens   map[Side]map[*node]uint64 // generated tokens, by side and by the node that recorded them
	flushed  map[Side]map[*node]uint64 // value of tokens at the last successful flush of the node
	oneSided map[string]bool           // by request: whether only one side was recorded
}

// Guards against totals that differ from what was recorded although the report
// names no loss, and against wrong lists of one-sided requests, while calls and
// writes fail, their responses are lost, and VMs are lost at any time.
func TestTotalsEqualRecordsOrLossIsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(4, Bounds{})
		c.forEachLive(func(f *Flusher) error { return f.Flush(background) })
		c.fault.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		c.fault.percent = rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "faults")
		want := recorded{
			tokens: map[Side]map[*node]uint64{Used: {}, Given: {}}, flushed: map[Side]map[*node]uint64{Used: {}, Given: {}},
			oneSided: map[string]bool{},
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			randomStep(t, c, &want, i)
		}
		c.exchangeUntilSettled()
		checkReport(t, c, want)
	})
}

// randomStep makes a random flush, exchange, fault or record on a random live
// node.
func randomStep(t *rapid.T, c *cluster, want *recorded, i int) {
	n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")]
	if n.dead {
		return
	}
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0:
		if n.flusher.flushOwn(background, false) == nil {
			want.flushed[Used][n], want.flushed[Given][n] = want.tokens[Used][n], want.tokens[Given][n]
		}
	case 1, 2:
		_ = n.flusher.Exchange(background)
	case 3:
		c.store.down = !c.store.down
	case 4:
		// The first VM stays alive, so that the report has at least one answer.
		n.dead = n != c.nodes[0] && rapid.Bool().Draw(t, "killed")
	default:
		owner := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "owner")]
		id, tokens := fmt.Sprint("r", i), rapid.IntRange(1, 9).Draw(t, "tokens")
		sides := rapid.SampledFrom([]string{"both", "both", "used", "given"}).Draw(t, "sides")
		if sides != "given" {
			n.recordUsed(id, "o", tokens)
			want.tokens[Used][n] += uint64(tokens)
		}
		if sides != "used" && !owner.dead {
			owner.recordGiven(id, "o", tokens, n)
			want.tokens[Given][owner] += uint64(tokens)
		}
		want.oneSided[id] = sides != "both" || owner.dead
	}
}

// checkReport compares the report with what the run recorded.
func checkReport(t *rapid.T, c *cluster, want recorded) {
	report := c.report()
	var row OrganisationUsage
	if len(report.Organisations) > 0 {
		row = report.Organisations[0]
	}
	dead := 0
	for _, n := range c.nodes {
		if n.dead {
			dead++
		}
	}
	if len(report.Unclean) != dead || len(report.NoAnswer) > 0 || row.Dropped > 0 || row.Settling > 0 {
		t.Fatalf("%d VMs were lost, but the report is %+v", dead, report)
	}
	checkTotals(t, c, want, Used, row.Used.GeneratedTokens)
	checkTotals(t, c, want, Given, row.Given.GeneratedTokens)
	if dead > 0 {
		return // entries that a lost VM had not sent are missing
	}
	listed := map[string]bool{}
	for _, request := range row.Differences {
		listed[string(request.Request)] = true
	}
	for id, oneSided := range want.oneSided {
		if listed[id] != oneSided {
			t.Fatalf("request %s: one-sided = %v, but listed in the report = %v", id, oneSided, listed[id])
		}
	}
}

// checkTotals checks that the reported tokens include all that live VMs
// recorded, and for a lost VM at least what it had flushed and at most what it
// had recorded.
func checkTotals(t *rapid.T, c *cluster, want recorded, side Side, reported uint64) {
	least, most := uint64(0), uint64(0)
	for _, n := range c.nodes {
		most += want.tokens[side][n]
		if n.dead {
			least += want.flushed[side][n]
		} else {
			least += want.tokens[side][n]
		}
	}
	if reported < least || reported > most {
		t.Fatalf("reported %d %s tokens, want %d to %d", reported, side, least, most)
	}
}
