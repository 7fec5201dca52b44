package edge

import (
	"sync"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
)

// configCache holds the newest configuration object that this VM has received, so that
// it can be sent to other VMs.
type configCache struct {
	mu       sync.Mutex
	asOf     objectstore.Position // up to which all changes have been applied
	revision objectstore.Position // at which value was written
	version  uint64               // of the configuration in value
	value    []byte
	deflated []byte // value, compressed when it is first asked for
}

// set stores a version of the configuration as it was written at a position, unless a newer
// one is stored already. A restored store holds older versions at later positions until the
// operator has written the newest one again.
func (c *configCache) set(value []byte, version uint64, at objectstore.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.version || version == c.version && at > c.revision {
		c.value, c.version, c.revision, c.deflated = value, version, at, nil
	}
}

// advance records that all changes after position since, up to and including position
// asOf, have been applied. It has no effect if earlier changes may be missing.
func (c *configCache) advance(since, asOf objectstore.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since <= c.asOf {
		c.asOf = max(c.asOf, asOf)
	}
}

// appliedRevision returns the position up to which all changes have been applied.
func (c *configCache) appliedRevision() objectstore.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asOf
}

// updateSince returns the update for a VM that has applied all changes up to the given
// position, and has the given version in force, 0 if that is unknown. It contains the
// configuration only if that was written later or is newer.
func (c *configCache) updateSince(at objectstore.Position, version uint64) grouprpc.ConfigUpdate {
	c.mu.Lock()
	defer c.mu.Unlock()
	update := grouprpc.ConfigUpdate{Since: at, AsOf: c.asOf, Revision: c.revision}
	if c.revision > at || version > 0 && c.version > version {
		update.Value = c.value
	}
	return update
}
