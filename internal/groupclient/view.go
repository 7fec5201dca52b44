package groupclient

import (
	"time"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// ownerState is what this VM knows of a group and its owner.
type ownerState struct {
	name    string
	owner   string // VM, empty if there is none
	address string
	epoch   int64
	own     bool // this VM owns it

	heardAt  time.Duration // last answer
	heard    bool          // in this epoch
	silent   bool          // the last call got no answer
	end      func()        // ends the waits at this owner
	wait     <-chan struct{}
	digest   digest
	version  uint64
	resident map[placer.Adapter][]placer.ResidentAdapter
	asking   bool
	askedAt  time.Duration
}

type digest struct {
	at      time.Duration
	backlog time.Duration
	vms     int
}

func (o *ownerState) reset() {
	if o.end != nil {
		o.end()
	}
	done := make(chan struct{})
	closed := false
	o.end = func() {
		if !closed {
			closed = true
			close(done)
		}
	}
	o.wait = done
	o.silent, o.heard, o.version = false, false, 0
}

func (o *ownerState) fold(reply grouprpc.SyncReply) {
	if reply.Full {
		o.resident = map[placer.Adapter][]placer.ResidentAdapter{}
	}
	for _, r := range reply.Gone {
		o.resident[r.Adapter] = without(o.resident[r.Adapter], r)
	}
	for _, r := range reply.Resident {
		o.resident[r.Adapter] = append(without(o.resident[r.Adapter], r), r)
	}
	o.version = reply.Version
}

func without(rows []placer.ResidentAdapter, r placer.ResidentAdapter) []placer.ResidentAdapter {
	var kept []placer.ResidentAdapter
	for _, row := range rows {
		if row.Target != r.Target {
			kept = append(kept, row)
		}
	}
	return kept
}
