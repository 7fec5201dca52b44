package prefix

// Policy estimates how much of a prompt the targets have cached. Targets are identified
// by small indexes.
type Policy interface {
	// RecordPrefixes records the prefix hashes of a request that was sent to a target.
	RecordPrefixes(target int, hashes []uint64)
	// Benefit returns the value of the part of a prompt that the target has cached. It
	// has the same unit as the busy share of the target's capacity, from which it is
	// subtracted. The hashes are those of the prompt's prefixes, shortest first.
	Benefit(target int, hashes []uint64) float64
	// Reset discards what is known of a target after its restart.
	Reset(target int)
}

// Off ignores prefixes.
type Off struct{}

// RecordPrefixes implements Policy.
func (Off) RecordPrefixes(int, []uint64) {}

// Benefit implements Policy.
func (Off) Benefit(int, []uint64) float64 { return 0 }

// Reset implements Policy.
func (Off) Reset(int) {}

const (
	// maxEntriesPerTarget is the maximum number of prefix hashes for each target. At 16
	// bytes for each entry and the overhead of the map, 64 targets need about 10 MB.
	maxEntriesPerTarget = 4096
	// fullMatchBenefit is the busy share of capacity that a full match makes up for. It
	// is below 1, so that a fully busy target is never preferred to an idle one.
	fullMatchBenefit = 0.5
)

// ring is a bounded set of hashes. When it is full, a new hash replaces the oldest.
type ring struct {
	oldest  int // index of the oldest hash once the ring is full
	hashes  []uint64
	members map[uint64]struct{} // the same hashes, for look-ups
}

// add adds a hash unless the ring contains it.
func (r *ring) add(hash uint64) {
	if r.members == nil {
		r.members = map[uint64]struct{}{}
	}
	if _, found := r.members[hash]; found {
		return
	}
	if len(r.hashes) < maxEntriesPerTarget {
		r.hashes = append(r.hashes, hash)
	} else {
		delete(r.members, r.hashes[r.oldest])
		r.hashes[r.oldest] = hash
		r.oldest = (r.oldest + 1) % maxEntriesPerTarget
	}
	r.members[hash] = struct{}{}
}

// Index records the prefixes that were sent to each target.
type Index struct{ rings []ring }

// ring returns the ring of a target and creates it if needed.
func (x *Index) ring(target int) *ring {
	for len(x.rings) <= target {
		x.rings = append(x.rings, ring{})
	}
	return &x.rings[target]
}

// RecordPrefixes implements Policy.
func (x *Index) RecordPrefixes(target int, hashes []uint64) {
	r := x.ring(target)
	for _, hash := range hashes {
		r.add(hash)
	}
}

// Benefit implements Policy.
func (x *Index) Benefit(target int, hashes []uint64) float64 {
	if len(hashes) == 0 {
		return 0
	}
	r := x.ring(target)
	matched := 0
	for _, hash := range hashes {
		if _, found := r.members[hash]; !found {
			break
		}
		matched++
	}
	return fullMatchBenefit * float64(matched) / float64(len(hashes))
}

// Reset implements Policy.
func (x *Index) Reset(target int) { *x.ring(target) = ring{} }
