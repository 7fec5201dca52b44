package account

import (
	"sort"
	"strings"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// Bounds of an Answer, which must fit into a message between peers (4 MiB).
const (
	// MaxAnswerRequests is the largest number of open requests in an answer.
	MaxAnswerRequests = 5_000
	// MaxAnswerRows is the largest number of rows of replicas in an answer.
	MaxAnswerRows = 4_000
)

// Answer is the usage data of one VM for a report. Daemons send it by gob.
type Answer struct {
	Process     string        // name of the VM, or its address if it did not answer
	Document    Document      // totals of this VM
	Held        []Document    // replicas of the counters of other incarnations
	HeldOmitted int           // number of replicas left out because of MaxAnswerRows
	Open        []OpenRequest // open requests, oldest first
	OpenOmitted int           // number of open requests left out because of MaxAnswerRequests
	NoAnswer    bool          // the VM did not answer; only Process is set
}

// Answer returns the data of this VM for a report.
func (l *Ledger) Answer() Answer {
	replicas := l.replicaDocuments()
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := Answer{Process: l.self.VM, Document: l.document.clone()}
	rows := 0
	for _, document := range replicas {
		if rows += len(document.Rows); rows > MaxAnswerRows {
			answer.HeldOmitted++
			continue
		}
		answer.Held = append(answer.Held, document)
	}
	answer.Open, answer.OpenOmitted = l.open.list(MaxAnswerRequests, l.exchanges)
	return answer
}

// Totals are the sums of one side for an organisation.
type Totals struct {
	Requests        map[core.Outcome]uint64 // attempts by outcome
	PromptTokens    uint64
	GeneratedTokens uint64
}

// OrganisationUsage is the usage of one organisation.
type OrganisationUsage struct {
	Organisation string
	Used, Given  Totals
	Differences  []OpenRequest // requests with only one side or with different sides
	Settling     int           // number of open requests whose other side may still arrive
	Dropped      uint64        // number of entries and open requests dropped at a bound
}

// Report is the reconciled usage of all organisations.
type Report struct {
	Organisations []OrganisationUsage
	// Unclean lists the incarnations that did not answer and whose counters are
	// not final. Their last records may be missing: at most one exchange
	// interval for an incarnation that has ended.
	Unclean     []model.Holder
	NoAnswer    []string // processes that did not answer; their open requests are missing
	OpenOmitted int      // number of open requests left out of the answers
	HeldOmitted int      // number of replicas left out of the answers
}

// Complete reports whether no data is missing from the report.
func (r Report) Complete() bool {
	return len(r.Unclean) == 0 && len(r.NoAnswer) == 0 && r.OpenOmitted == 0 && r.HeldOmitted == 0
}

// Reconcile builds the report from the documents in the store and the answers
// of all live VMs.
func Reconcile(stored []Document, answers []Answer) Report {
	var report Report
	documents, answered := map[model.Holder]*Document{}, map[model.Holder]bool{}
	for _, document := range stored {
		mergeDocument(documents, document)
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
			mergeDocument(documents, document)
		}
		mergeOpen(open, answer.Open)
	}
	clearFolded(documents)
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
	report.Organisations = sortedByName(organisations)
	sort.Strings(report.NoAnswer)
	sort.Slice(report.Unclean, func(i, j int) bool { return Key(report.Unclean[i]) < Key(report.Unclean[j]) })
	return report
}

// mergeOpen adds up the entries that several VMs have for the same request.
func mergeOpen(open map[model.RequestID]*OpenRequest, requests []OpenRequest) {
	for _, request := range requests {
		existing := open[request.Request]
		if existing == nil {
			open[request.Request] = &request
			continue
		}
		existing.Used, existing.Given = addUsage(existing.Used, request.Used), addUsage(existing.Given, request.Given)
		existing.HasUsed, existing.HasGiven = existing.HasUsed || request.HasUsed, existing.HasGiven || request.HasGiven
		existing.Settling = existing.Settling || request.Settling
		existing.EntryVMGone = existing.EntryVMGone || request.EntryVMGone
	}
}

func addUsage(a, b core.Usage) core.Usage {
	return core.Usage{PromptTokens: a.PromptTokens + b.PromptTokens, GeneratedTokens: a.GeneratedTokens + b.GeneratedTokens}
}

func mergeDocument(documents map[model.Holder]*Document, document Document) {
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
	u.Dropped += row[DroppedOpenRequests] + row[DroppedGivenEntries]
	u.Used.add(Used, row)
	u.Given.add(Given, row)
}

func (t *Totals) add(side Side, row Row) {
	t.PromptTokens += row[PromptTokensCounter(side)]
	t.GeneratedTokens += row[GeneratedTokensCounter(side)]
	prefix := string(RequestsCounter(side, ""))
	for counter, value := range row {
		if outcome, ok := strings.CutPrefix(string(counter), prefix); ok {
			t.Requests[core.Outcome(outcome)] += value
		}
	}
}

func sortedByName(organisations map[string]*OrganisationUsage) []OrganisationUsage {
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
