package groupclient

import (
	"slices"

	"cicadaslip/internal/quarantine"
)

// groupsPerExchange is the number of groups for each owner with which a VM exchanges what it
// knows of parts that crash targets, and of targets that leave. The owners are called less often the more groups there
// are, so this keeps the time between two exchanges at half a second.
const groupsPerExchange = 5

// exchangesQuarantine reports whether an owner is one of those with which this VM exchanges
// its quarantine table and the leaving targets: the first ones, by the names of the groups, that respond. All VMs
// choose the same owners, so that what one VM has learned soon reaches the others, and few
// times. The caller holds the lock.
func (c *Client) exchangesQuarantine(o *ownerState) bool {
	var names []string
	for name, other := range c.groups {
		if other.owner != "" && !other.local && !other.silent {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	position := slices.Index(names, o.name)
	return position >= 0 && position < max(1, (len(c.groups)+1)/groupsPerExchange)
}

// quarantineSince returns what to send to an owner that has received a version of this VM's
// table. Owners pass on what they hear; other VMs only tell what they have seen themselves.
func (c *Client) quarantineSince(version uint64) quarantine.Delta {
	if c.opt.Groups.OwnsAny() {
		return c.opt.Quarantine.Since(version)
	}
	return c.opt.Quarantine.OwnSince(version)
}
