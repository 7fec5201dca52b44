package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Position is the place of a VM among the VMs of the deployment, in an order that they
// agree on.
type Position struct {
	Rank int // from 0
	VMs  int // at least 1
}

// extraShares is the number of VMs that may use a limited target beyond one for each request
// per second. Each of them may send a burst, so few VMs keep the sum within the limit.
const extraShares = 2

// probeShare is the part of a limit that the other VMs may use together, so that each learns
// of the end of the limit.
const probeShare = 0.05

// Table holds the limits that targets have named in their answers to this VM, and this VM's
// share of them. It is not safe for concurrent use.
type Table struct {
	limits map[string]*limit // by target
}

type limit struct {
	perSecond float64       // of all VMs
	since     time.Duration // when the target first named perSecond
	share     Bucket
}

// Stated is the limit that a target has named.
type Stated struct {
	PerSecond float64
	Since     time.Duration // when the target first named it
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{limits: map[string]*limit{}} }

// Observe records the limit that an answer of a target named, 0 if it named none.
func (t *Table) Observe(now time.Duration, target string, perSecond float64, p Position) {
	if perSecond <= 0 {
		delete(t.limits, target)
		return
	}
	perSecond = max(MinPerSecond, perSecond)
	rate, takesPart := share(target, perSecond, p)
	l := t.limits[target]
	if l == nil {
		l = &limit{}
		t.limits[target] = l
		l.share.SetRate(now, rate)
		if !takesPart {
			l.share.Take(now) // no request at once
		}
	}
	if l.perSecond != perSecond {
		l.perSecond, l.since = perSecond, now
	}
	l.share.SetRate(now, rate)
}

// share returns this VM's part of a limit. The VMs that have one follow each other in the
// order of the VMs, from a place that depends on the target. takesPart tells whether this VM
// is one of them.
func share(target string, perSecond float64, p Position) (rate float64, takesPart bool) {
	vms := max(1, p.VMs)
	sharing := min(vms, int(perSecond)+extraShares)
	first := int(xxhash.Sum64String(target) % uint64(vms))
	if (p.Rank+first)%vms >= sharing {
		return probeShare * perSecond / float64(vms-sharing), false
	}
	return (1 - probeShare) * perSecond / float64(sharing), true
}

// Take records a request to a target and reports true, or reports false if the target may not
// get one now.
func (t *Table) Take(now time.Duration, target string) bool {
	l := t.limits[target]
	if l == nil {
		return true
	}
	if l.share.Wait(now, 0) > 0 {
		return false
	}
	l.share.Take(now)
	return true
}

// Count records a request that is sent to a target although this VM's share does not decide on
// it.
func (t *Table) Count(now time.Duration, target string) {
	if l := t.limits[target]; l != nil {
		l.share.Take(now)
	}
}

// Exhausted returns the targets that may not get a request now.
func (t *Table) Exhausted(now time.Duration) []string {
	var all []string
	for target, l := range t.limits {
		if l.share.Wait(now, 0) > 0 {
			all = append(all, target)
		}
	}
	return all
}

// Limits returns the limits by target.
func (t *Table) Limits() map[string]float64 {
	if len(t.limits) == 0 {
		return nil
	}
	all := make(map[string]float64, len(t.limits))
	for target, l := range t.limits {
		all[target] = l.perSecond
	}
	return all
}

// Stated returns the limits by target, with the times since which they have been in force.
func (t *Table) Stated() map[string]Stated {
	all := make(map[string]Stated, len(t.limits))
	for target, l := range t.limits {
		all[target] = Stated{PerSecond: l.perSecond, Since: l.since}
	}
	return all
}

// Retain removes the limits of targets that no longer exist.
func (t *Table) Retain(exists func(target string) bool) {
	for target := range t.limits {
		if !exists(target) {
			delete(t.limits, target)
		}
	}
}
