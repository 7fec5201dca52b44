package account

import (
	"sort"
	"strings"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// Bounds of an answer, which must fit into a message between peers (4 MiB).
const (
	// MaxAnswerRequests is the largest number of open requests in an answer.
	MaxAnswerRequests = 5_000
	// MaxAnswerRows is the largest number of held rows in an answer.
	MaxAnswerRows = 4_000
)

// Answer is what one live VM knows.
type Answer struct {
	Process     string // VM, or the address that was asked
	Document    Document
	Held        []Document
	HeldOmitted int // held documents over MaxAnswerRows
	Open        []OpenRequest
	OpenOmitted int // open requests over MaxAnswerRequests
	NoAnswer    bool
}

// Answer returns this VM's part of a report.
func (l *Ledger) Answer() Answer {
	held := l.heldDocuments()
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := Answer{Process: l.self.VM, Document: l.document.clone()}
	rows := 0
	for _, document := range held {
		if rows += len(document.Rows); rows > MaxAnswerRows {
			answer.HeldOmitted++
			continue
		}
		answer.Held = append(answer.Held, document)
	}
	answer.Open, answer.OpenOmitted = l.open.list(MaxAnswerRequests, l.round)
	return answer
}

// Totals are one side's sums of an organisation.
type Totals struct {
	Requests        map[core.Outcome]uint64
	PromptTokens    uint64
	GeneratedTokens uint64
}

// OrganisationUsage is the account of one organisation.
type OrganisationUsage struct {
	Organisation string
	Used, Given  Totals
	Differences  []OpenRequest // one side only, or different sides
	Settling     int           // open requests whose other side may still follow
	Dropped      uint64        // entries dropped from matching at a bound
}

// Report is the reconciled account.
type Report struct {
	Organisations []OrganisationUsage
	// Unclean lists incarnations that did not answer and whose counters are not
	// final. Their last records may be missing: at most one hold interval of
	// those that have ended.
	Unclean     []model.Holder
	NoAnswer    []string // processes whose open requests are missing
	OpenOmitted int      // open requests that answers did not list
	HeldOmitted int      // held documents that answers did not list
}

// Complete reports whether the report misses nothing.
func (r Report) Complete() bool {
	return len(r.Unclean) == 0 && len(r.NoAnswer) == 0 && r.OpenOmitted == 0 && r.HeldOmitted == 0
}

// Reconcile builds the report from the store's documents and the answers of all
// live VMs.
func Reconcile(stored []Document, answers []Answer) Report {
	var report Report
	documents, answered := map[model.Holder]*Document{}, map[model.Holder]bool{}
	for _, document := range stored {
		mergeInto(documents, document)
	}
	organisations, open := map[string]*OrganisationUsage{}, map[model.RequestID]*OpenRequest{}
	for _, answer := range answers {
		if answer.NoAnswer {
			report.NoAnswer = append(report.NoAnswer, answer.Process)
			continue
		}
		answered[answer.Document.Holder] = true
		report.OpenOmitted += answer.OpenOmitted
		report.HeldOmitted += answer.HeldOmitted
		for _, document := range append(answer.Held, answer.Document) {
			mergeInto(documents, document)
		}
		joinOpen(open, answer.Open)
	}
	dropFolded(documents)
	for _, request := range open {
		if !request.matches() {
			usageOf(organisations, request.Organisation).addOpen(*request)
		}
	}
	for holder, document := range documents {
		if !document.Final && !answered[holder] {
			report.Unclean = append(report.Unclean, holder)
		}
		for organisation, row := range document.Rows {
			usageOf(organisations, organisation).addRow(row)
		}
	}
	report.Organisations = sorted(organisations)
	sort.Strings(report.NoAnswer)
	sort.Slice(report.Unclean, func(i, j int) bool { return Key(report.Unclean[i]) < Key(report.Unclean[j]) })
	return report
}

// joinOpen adds up what several VMs have of the same request.
func joinOpen(open map[model.RequestID]*OpenRequest, requests []OpenRequest) {
	for _, request := range requests {
		known := open[request.Request]
		if known == nil {
			open[request.Request] = &request
			continue
		}
		known.Used, known.Given = sum(known.Used, request.Used), sum(known.Given, request.Given)
		known.HasUsed, known.HasGiven = known.HasUsed || request.HasUsed, known.HasGiven || request.HasGiven
		known.Settling = known.Settling || request.Settling
		known.EntryVMGone = known.EntryVMGone || request.EntryVMGone
	}
}

func sum(a, b core.Usage) core.Usage {
	return core.Usage{PromptTokens: a.PromptTokens + b.PromptTokens, GeneratedTokens: a.GeneratedTokens + b.GeneratedTokens}
}

func mergeInto(documents map[model.Holder]*Document, document Document) {
	if documents[document.Holder] == nil {
		empty := newDocument(document.Holder)
		documents[document.Holder] = &empty
	}
	documents[document.Holder].merge(document)
}

func usageOf(organisations map[string]*OrganisationUsage, name string) *OrganisationUsage {
	if organisations[name] == nil {
		organisations[name] = &OrganisationUsage{
			Organisation: name,
			Used:         Totals{Requests: map[core.Outcome]uint64{}},
			Given:        Totals{Requests: map[core.Outcome]uint64{}},
		}
	}
	return organisations[name]
}

func (u *OrganisationUsage) addOpen(request OpenRequest) {
	if request.Settling {
		u.Settling++
		return
	}
	u.Differences = append(u.Differences, request)
}

func (u *OrganisationUsage) addRow(row Row) {
	u.Dropped += row[DroppedOpen] + row[DroppedGiven]
	u.Used.add(Used, row)
	u.Given.add(Given, row)
}

func (t *Totals) add(side Side, row Row) {
	t.PromptTokens += row[PromptTokens(side)]
	t.GeneratedTokens += row[GeneratedTokens(side)]
	prefix := string(RequestsWith(side, ""))
	for counter, value := range row {
		if outcome, ok := strings.CutPrefix(string(counter), prefix); ok {
			t.Requests[core.Outcome(outcome)] += value
		}
	}
}

func sorted(organisations map[string]*OrganisationUsage) []OrganisationUsage {
	result := make([]OrganisationUsage, 0, len(organisations))
	for _, usage := range organisations {
		sort.Slice(usage.Differences, func(i, j int) bool {
			return usage.Differences[i].Request < usage.Differences[j].Request
		})
		result = append(result, *usage)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].Organisation < result[j].Organisation })
	return result
}
