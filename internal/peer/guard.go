package peer

import (
	"sync"

	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// MaxSenders is the largest number of VMs whose last heartbeat is remembered.
// The sender that was not heard for the longest time is forgotten first.
const MaxSenders = 4096

// Refusal is the reason why a datagram was dropped.
type Refusal string

// Reasons of refusals.
const (
	accepted           Refusal = ""
	RefusedSize        Refusal = "too_large"
	RefusedMAC         Refusal = "not_authentic"
	RefusedMalformed   Refusal = "malformed"
	RefusedReceiver    Refusal = "wrong_receiver"    // for another VM or incarnation
	RefusedIncarnation Refusal = "old_incarnation"   // a newer one was heard
	RefusedSequence    Refusal = "replayed_or_late"  // not newer than the last one
	RefusedOwn         Refusal = "own_name_returned" // carries the receiver's name as sender
)

// Refusals lists all reasons.
var Refusals = []Refusal{
	RefusedSize, RefusedMAC, RefusedMalformed, RefusedReceiver,
	RefusedIncarnation, RefusedSequence, RefusedOwn,
}

// guard refuses datagrams that are for another receiver or not newer than the
// last one of their sender.
type guard struct {
	self    model.Holder
	limit   int
	mu      sync.Mutex
	senders map[string]sender
	order   uint64
}

type sender struct {
	last  rpcapi.Acknowledgement
	order uint64 // of the last datagram among those of all senders
}

func newGuard(self model.Holder) *guard {
	return &guard{self: self, limit: MaxSenders, senders: map[string]sender{}}
}

// admit checks an authentic digest and remembers it as its sender's last one.
func (g *guard) admit(digest rpcapi.Digest) Refusal {
	if digest.From.VM == g.self.VM {
		return RefusedOwn
	}
	// A sender that names an incarnation of the receiver means exactly this one.
	otherRun := digest.Heard.Incarnation != 0 && digest.Heard.Incarnation != g.self.Incarnation
	if digest.To != g.self.VM || otherRun {
		return RefusedReceiver
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known, found := g.senders[digest.From.VM]
	switch {
	case found && digest.From.Incarnation < known.last.Incarnation:
		return RefusedIncarnation
	case found && digest.From.Incarnation == known.last.Incarnation && digest.Sequence <= known.last.Sequence:
		return RefusedSequence
	case !found && len(g.senders) >= g.limit:
		g.evict()
	}
	g.order++
	last := rpcapi.Acknowledgement{Incarnation: digest.From.Incarnation, Sequence: digest.Sequence}
	g.senders[digest.From.VM] = sender{last: last, order: g.order}
	return accepted
}

// evict forgets the sender that was not heard for the longest time.
func (g *guard) evict() {
	oldest, order := "", uint64(0)
	for name, s := range g.senders {
		if oldest == "" || s.order < order {
			oldest, order = name, s.order
		}
	}
	delete(g.senders, oldest)
}

// heard returns what to acknowledge to a VM.
func (g *guard) heard(vm string) rpcapi.Acknowledgement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.senders[vm].last
}
