package edge

import (
	"sync"

	"cicadaslip/internal/grouprpc"
)

// configPlace keeps the configuration's object and the revision up to which this VM
// knows its changes.
type configPlace struct {
	mu       sync.Mutex
	asOf     int64
	revision int64 // of the object
	value    []byte
}

// set enters the object as it was written at a revision.
func (p *configPlace) set(value []byte, revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision > p.revision {
		p.value, p.revision = value, revision
	}
}

// reached tells that all changes between two revisions are entered.
func (p *configPlace) reached(since, asOf int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if since <= p.asOf {
		p.asOf = max(p.asOf, asOf)
	}
}

// known returns the revision up to which all changes are known.
func (p *configPlace) known() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asOf
}

// since returns what a VM that knows all up to a revision has to be told.
func (p *configPlace) since(revision int64) grouprpc.ConfigUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := grouprpc.ConfigUpdate{Since: revision, AsOf: p.asOf, Revision: p.revision}
	if p.revision > revision {
		news.Value = p.value
	}
	return news
}
