package groupclient

import (
	"time"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// ownerState is this VM's view of a group and its owner.
type ownerState struct {
	name    string
	owner   string // name of the owner VM, empty if there is none
	address string
	epoch   int64
	local   bool // this VM owns the group

	lastResponseAt time.Duration   // time of the owner's last response
	responded      bool            // the owner has responded in this epoch
	silent         bool            // the last sync call failed
	endWaits       func()          // cancels the waits at this owner
	waitsEnded     <-chan struct{} // closed by endWaits
	report         ownerReport
	version        uint64 // version of the owner's view up to which resident is known
	resident       map[placer.Adapter][]placer.ResidentAdapter
	leavingSent    uint64        // version of this VM's table of leaving targets that the owner has received
	leavingSeen    uint64        // version of the owner's table that this VM has received
	quarantineSent uint64        // version of this VM's quarantine table that the owner has received
	quarantineSeen uint64        // version of the owner's quarantine table that this VM has received
	syncing        bool          // a sync call is running
	lastSyncAt     time.Duration // start of the last sync call, 0 to make the next one due
}

// ownerReport is the load that an owner reported in its last response.
type ownerReport struct {
	receivedAt time.Duration
	backlog    time.Duration
	vms        int
	rank       int // of this VM among them
}

// reset cancels the waits at the owner and clears the version, so that the next sync
// call returns the full view. The resident adapters are kept until then.
func (o *ownerState) reset() {
	if o.endWaits != nil {
		o.endWaits()
	}
	done := make(chan struct{})
	closed := false
	o.endWaits = func() {
		if !closed {
			closed = true
			close(done)
		}
	}
	o.waitsEnded = done
	o.silent, o.responded, o.version = false, false, 0
	o.quarantineSent, o.quarantineSeen = 0, 0
	o.leavingSent, o.leavingSeen = 0, 0
}

func (o *ownerState) applySync(reply grouprpc.SyncReply) {
	if reply.Full {
		o.resident = map[placer.Adapter][]placer.ResidentAdapter{}
	}
	for _, r := range reply.Gone {
		o.resident[r.Adapter] = withoutTarget(o.resident[r.Adapter], r)
	}
	for _, r := range reply.Resident {
		o.resident[r.Adapter] = append(withoutTarget(o.resident[r.Adapter], r), r)
	}
	o.version = reply.Version
}

func withoutTarget(rows []placer.ResidentAdapter, r placer.ResidentAdapter) []placer.ResidentAdapter {
	var kept []placer.ResidentAdapter
	for _, row := range rows {
		if row.Target != r.Target {
			kept = append(kept, row)
		}
	}
	return kept
}
