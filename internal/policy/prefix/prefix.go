package prefix

// Policy scores how much of a prompt a target, named by a small index, has cached.
type Policy interface {
	// Served enters the prefixes of a request that a target got.
	Served(target int, hashes []uint64)
	// Benefit returns the value of the target's cached prefix, in the same
	// unit as the target's part of busy capacity.
	Benefit(target int, hashes []uint64) float64
	// Reset forgets a target, after a restart.
	Reset(target int)
}

// Off ignores prefixes.
type Off struct{}

// Served implements Policy.
func (Off) Served(int, []uint64) {}

// Benefit implements Policy.
func (Off) Benefit(int, []uint64) float64 { return 0 }

// Reset implements Policy.
func (Off) Reset(int) {}

const (
	// entriesPerTarget bounds the index. At 16 bytes an entry and its map
	// overhead, 64 targets need about 10 MB.
	entriesPerTarget = 4096
	// weight is the part of busy capacity that a full match makes up for.
	// Below one, so that a full target is never preferred to an idle one.
	weight = 0.5
)

// ring is a bounded set of hashes; the oldest entry makes room.
type ring struct {
	at   int
	list []uint64
	set  map[uint64]struct{}
}

func (r *ring) add(hash uint64) {
	if r.set == nil {
		r.set = map[uint64]struct{}{}
	}
	if _, known := r.set[hash]; known {
		return
	}
	if len(r.list) < entriesPerTarget {
		r.list = append(r.list, hash)
	} else {
		delete(r.set, r.list[r.at])
		r.list[r.at] = hash
		r.at = (r.at + 1) % entriesPerTarget
	}
	r.set[hash] = struct{}{}
}

// Index remembers the prefixes that were sent to each target.
type Index struct{ rings []ring }

func (x *Index) ring(target int) *ring {
	for len(x.rings) <= target {
		x.rings = append(x.rings, ring{})
	}
	return &x.rings[target]
}

// Served implements Policy.
func (x *Index) Served(target int, hashes []uint64) {
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
		if _, known := r.set[hash]; !known {
			break
		}
		matched++
	}
	return weight * float64(matched) / float64(len(hashes))
}

// Reset implements Policy.
func (x *Index) Reset(target int) { *x.ring(target) = ring{} }
