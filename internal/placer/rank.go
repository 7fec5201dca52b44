package placer

import (
	"cmp"
	"slices"
	"time"
)

// rank is the urgency of a request. The priority of its organisation takes precedence over
// that of its route.
type rank struct {
	organisation int
	route        int
}

// rank returns the rank of a request. A request that names no organisation has the most
// urgent organisation priority.
func (r *Request) rank() rank {
	if r.Organisation == "" {
		return rank{route: r.Priority}
	}
	return rank{organisation: r.OrganisationPriority, route: r.Priority}
}

// compareRanks returns a negative number if a is more urgent than b.
func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
}

const (
	// lowestEnginePriority is the least urgent of the engine's priorities.
	lowestEnginePriority = 9
	// lowestOnTimePriority is the least urgent engine priority of requests that can be on
	// time. Late requests have the priorities below it.
	lowestOnTimePriority = 4
	// rankMemory is the time for which a rank without requests keeps its engine priority.
	rankMemory = 10 * time.Second
	// maxKnownRanks bounds the ranks that get engine priorities of their own. Further ranks
	// share that of the next more urgent one.
	maxKnownRanks = 64
)

// EnginePriorities maps the ranks of requests to the priorities of engines. The zero value is
// ready for use. It is not safe for concurrent use.
type EnginePriorities struct {
	known []knownRank // sorted by rank, empty until a request names an organisation
}

type knownRank struct {
	rank
	lastSeen Time
}

// Of returns the engine priority of a request: 0 to 4 for a request that can be on time, 5 to
// 9 for a late one. Until a request names an organisation it follows from the route's
// priority alone. Afterwards the ranks of the last rankMemory divide the levels: each
// organisation priority gets one, and the more urgent ones get the rest for the priorities of
// their routes.
func (p *EnginePriorities) Of(now Time, r *Request, late bool) int {
	if len(p.known) > 0 {
		p.known = slices.DeleteFunc(p.known, func(k knownRank) bool { return now-k.lastSeen > rankMemory })
	}
	level := min(lowestOnTimePriority, r.Priority)
	if r.Organisation != "" || len(p.known) > 0 {
		level = p.level(now, r.rank(), r.Organisation != "")
	}
	if late {
		level = min(lowestEnginePriority, lowestOnTimePriority+1+level)
	}
	return level
}

// level returns the number of a rank's level. The ranks of requests without an organisation
// are not remembered, so that the levels end with the last organisation.
func (p *EnginePriorities) level(now Time, r rank, remember bool) int {
	i, found := slices.BinarySearchFunc(p.known, r, func(k knownRank, r rank) int { return compareRanks(k.rank, r) })
	switch {
	case found && remember:
		p.known[i].lastSeen = now
	case !found && len(p.known) < maxKnownRanks && remember:
		p.known = slices.Insert(p.known, i, knownRank{r, now})
	case !found && i > 0:
		i-- // shares the level of the next more urgent rank
	}
	level, organisationsLeft := -1, 0
	for j := range p.known {
		if j == 0 || p.known[j].organisation != p.known[j-1].organisation {
			organisationsLeft++
		}
	}
	for j := range p.known[:min(i+1, len(p.known))] {
		switch {
		case j == 0 || p.known[j].organisation != p.known[j-1].organisation:
			organisationsLeft--
			level = min(lowestOnTimePriority, level+1)
		case level < lowestOnTimePriority-organisationsLeft:
			level++
		}
	}
	return max(0, level)
}
