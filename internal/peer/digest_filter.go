package peer

import (
	"sync"

	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// MaxSenders is the maximum number of VMs whose last heartbeat is remembered. When
// it is exceeded, the sender whose last heartbeat is the oldest is evicted.
const MaxSenders = 4096

// Refusal is the reason why a datagram was dropped.
type Refusal string

// Reasons for dropping a datagram.
const (
	accepted              Refusal = ""
	RefusedTooLarge       Refusal = "too_large"
	RefusedInvalidMAC     Refusal = "not_authentic"
	RefusedMalformed      Refusal = "malformed"
	RefusedWrongReceiver  Refusal = "wrong_receiver"    // meant for another VM or for another incarnation of this VM
	RefusedOldIncarnation Refusal = "old_incarnation"   // a newer incarnation of the sender has sent a heartbeat
	RefusedReplayedOrLate Refusal = "replayed_or_late"  // sequence number not greater than the last one of the sender
	RefusedOwnName        Refusal = "own_name_returned" // the sender has the receiver's name
)

// RefusalReasons lists all reasons for dropping a datagram.
var RefusalReasons = []Refusal{
	RefusedTooLarge, RefusedInvalidMAC, RefusedMalformed, RefusedWrongReceiver,
	RefusedOldIncarnation, RefusedReplayedOrLate, RefusedOwnName,
}

// digestFilter refuses digests that are meant for another receiver or are not newer
// than the last digest of their sender.
type digestFilter struct {
	self       model.Holder
	maxSenders int
	mu         sync.Mutex
	senders    map[string]sender
	admitted   uint64 // number of digests admitted so far
}

// sender is the last admitted digest of one VM.
type sender struct {
	lastHeartbeat rpcapi.Acknowledgement
	admittedAt    uint64 // value of digestFilter.admitted after the last digest of this sender
}

func newDigestFilter(self model.Holder) *digestFilter {
	return &digestFilter{self: self, maxSenders: MaxSenders, senders: map[string]sender{}}
}

// admit checks an authentic digest. If it accepts the digest, it stores it as the
// last one of its sender.
func (f *digestFilter) admit(digest rpcapi.Digest) Refusal {
	if digest.From.VM == f.self.VM {
		return RefusedOwnName
	}
	// A digest that acknowledges a heartbeat of some incarnation of the receiver is
	// meant for that incarnation only.
	otherIncarnation := digest.Heard.Incarnation != 0 && digest.Heard.Incarnation != f.self.Incarnation
	if digest.To != f.self.VM || otherIncarnation {
		return RefusedWrongReceiver
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.senders[digest.From.VM]
	switch {
	case found && digest.From.Incarnation < known.lastHeartbeat.Incarnation:
		return RefusedOldIncarnation
	case found && digest.From.Incarnation == known.lastHeartbeat.Incarnation && digest.Sequence <= known.lastHeartbeat.Sequence:
		return RefusedReplayedOrLate
	case !found && len(f.senders) >= f.maxSenders:
		f.evictOldest()
	}
	f.admitted++
	heartbeat := rpcapi.Acknowledgement{Incarnation: digest.From.Incarnation, Sequence: digest.Sequence}
	f.senders[digest.From.VM] = sender{lastHeartbeat: heartbeat, admittedAt: f.admitted}
	return accepted
}

// evictOldest removes the sender whose last digest is the oldest.
func (f *digestFilter) evictOldest() {
	oldest, oldestAt := "", uint64(0)
	for name, s := range f.senders {
		if oldest == "" || s.admittedAt < oldestAt {
			oldest, oldestAt = name, s.admittedAt
		}
	}
	delete(f.senders, oldest)
}

// lastHeartbeatFrom returns the last heartbeat that was admitted from a VM, to be
// acknowledged to it, or the zero value if there was none.
func (f *digestFilter) lastHeartbeatFrom(vm string) rpcapi.Acknowledgement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.senders[vm].lastHeartbeat
}
