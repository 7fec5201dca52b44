package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// evidence is what speaks against a part.
type evidence struct {
	depth    int // position in the prompt
	moments  int
	crashIDs map[string]bool
	requests map[string]bool
	first    time.Duration
	newest   *observation
}

// crashes returns the number of crashes that happened apart from each other.
func (e *evidence) crashes() int { return min(e.moments, len(e.crashIDs)) }

// evidence returns the evidence by part. An observation counts against a part unless the
// part has made progress since.
func (t *Table) evidence() map[Part]*evidence {
	all := map[Part]*evidence{}
	for _, moment := range t.moments() {
		crashes := map[string]bool{}
		for _, o := range moment {
			crashes[o.Break.Crash] = true
		}
		for part, against := range t.byPart(moment) {
			if len(crashIDs(against)) < len(crashes) {
				continue // targets that failed together have a cause outside of the part
			}
			e := all[part]
			if e == nil {
				e = &evidence{crashIDs: map[string]bool{}, requests: map[string]bool{}, first: against[0].at}
				all[part] = e
			}
			e.add(part, against)
		}
	}
	return all
}

func (e *evidence) add(part Part, against []*observation) {
	e.moments++
	for _, o := range against {
		e.depth = max(e.depth, slices.Index(o.Break.Parts, part.ID))
		e.crashIDs[o.Break.Crash], e.requests[o.Break.Request] = true, true
		e.newest = o
	}
}

// suspicion is an observation with the position of the first part that it may count against.
type suspicion struct {
	*observation
	from int
}

// moments returns the observations that no quarantined part explains, in order of time and
// divided into spans that are shorter than crashSeparation.
func (t *Table) moments() [][]suspicion {
	explained := map[string]bool{}
	for i := range t.observations {
		if o := &t.observations[i]; t.culpritDepth(o) >= 0 {
			explained[o.Break.Crash] = true
		}
	}
	var rest []suspicion
	for i := range t.observations {
		o := &t.observations[i]
		from := t.culpritDepth(o) + 1
		if from == 0 && explained[o.Break.Crash] || from == len(o.Break.Parts) {
			continue
		}
		rest = append(rest, suspicion{o, from})
	}
	slices.SortFunc(rest, func(a, b suspicion) int { return cmp.Compare(a.at, b.at) })
	var moments [][]suspicion
	for i, o := range rest {
		if i == 0 || o.at-moments[len(moments)-1][0].at >= crashSeparation {
			moments = append(moments, nil)
		}
		last := len(moments) - 1
		moments[last] = append(moments[last], o)
	}
	return moments
}

// culpritDepth returns the position of the last quarantined part in the prompt of an
// observation, -1 if there is none. It explains the crash, unless a part behind it does: that
// one may not have been known when the quarantine was decided.
func (t *Table) culpritDepth(o *observation) int {
	for depth := len(o.Break.Parts) - 1; depth >= 0; depth-- {
		part := Part{o.Break.Service, o.Break.Parts[depth]}
		if q := t.quarantined[part]; q != nil && t.progressOf(part) <= q.at {
			return depth
		}
	}
	return -1
}

// byPart returns the observations of a moment that count against each part.
func (t *Table) byPart(moment []suspicion) map[Part][]*observation {
	all := map[Part][]*observation{}
	for _, o := range moment {
		for _, id := range o.Break.Parts[o.from:] {
			if part := (Part{o.Break.Service, id}); t.progressOf(part) < o.at {
				all[part] = append(all[part], o.observation)
			}
		}
	}
	return all
}

func crashIDs(observations []*observation) map[string]bool {
	ids := map[string]bool{}
	for _, o := range observations {
		ids[o.Break.Crash] = true
	}
	return ids
}

// judge quarantines the parts against which there is enough evidence. If several parts of
// the same requests qualify, it chooses the one that comes latest in the prompt, since the
// earlier ones are shared by more requests; this one then explains the others' crashes.
func (t *Table) judge(now time.Duration) {
	t.prune(now)
	for {
		culprit, proof := t.findCulprit(now)
		if proof == nil {
			break
		}
		t.quarantine(culprit, t.opt.Wall().Add(proof.newest.at-now).UnixMilli(), now)
		t.opt.Changed(Change{Part: culprit, Blocked: true, Crashes: proof.crashes(), Request: proof.newest.Break.Request})
	}
	t.absolve(now)
	t.judged = t.version
}

// absolve ends the quarantine of parts in front of another quarantined part. It was decided
// before all observations of the latter had arrived. Like progress, this reaches all VMs.
func (t *Table) absolve(now time.Duration) {
	for i := range t.observations {
		o := &t.observations[i]
		for _, id := range o.Break.Parts[:max(0, t.culpritDepth(o))] {
			if part := (Part{o.Break.Service, id}); t.active(part, now) {
				t.ownProgress(part, now+crashSeparation) // later than its newest crash, on all VMs
			}
		}
	}
}

// findCulprit returns the part to quarantine next, with the evidence against it, or nil if
// there is none. It sets the time of the next judgement.
func (t *Table) findCulprit(now time.Duration) (culprit Part, proof *evidence) {
	t.rejudgeAt = forever
	for part, e := range t.evidence() {
		if e.crashes() < t.crashesNeeded(part) || len(e.requests) < minRequests {
			continue
		}
		if settled := e.first + settleTime; now < settled {
			t.rejudgeAt = min(t.rejudgeAt, settled)
			continue
		}
		if proof == nil || e.depth > proof.depth || e.depth == proof.depth && part.ID < culprit.ID {
			culprit, proof = part, e
		}
	}
	return culprit, proof
}

// crashesNeeded returns the number of crashes that quarantine a part.
func (t *Table) crashesNeeded(part Part) int {
	if t.progressOf(part) != never {
		return minCrashesAfterProgress
	}
	return minCrashes
}

// quarantine quarantines a part since a wall-clock time in Unix milliseconds.
func (t *Table) quarantine(part Part, since int64, now time.Duration) {
	age := time.Duration(t.opt.Wall().UnixMilli()-since) * time.Millisecond
	t.version++
	t.quarantined[part] = &quarantined{since: since, at: now - max(0, age), changed: t.version}
}
