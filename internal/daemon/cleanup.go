package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/cleanup"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
)

// cleanupDuty is the name of the duty to delete store objects that belong to
// VMs that are gone.
const cleanupDuty = "cleanup"

// cleanupTimeout limits the duration of one clean-up pass over the objects in
// the store.
const cleanupTimeout = time.Minute

// runCleanup makes a clean-up pass at intervals, with jitter, while this VM
// holds the clean-up duty and is not draining.
func (d *Daemon) runCleanup(ctx context.Context) {
	cleaner := &cleanup.Cleaner{
		Self: d.holder(), Store: d.store, Liveness: d.members, Retention: d.settings.Cleanup.Retention, Now: time.Now,
	}
	interval := d.settings.Cleanup.Interval
	for pause.For(ctx, interval/2+rand.N(interval)) {
		if owner, found := d.members.dutyOwner(cleanupDuty, ""); !found || owner.Name != d.self.Name || d.readiness.draining() {
			continue
		}
		passCtx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		if err := cleaner.RunOnce(passCtx); err != nil && ctx.Err() == nil {
			d.log.Warn().Err(err).Msg("clean-up pass over the store failed; will retry at the next interval")
		}
		cancel()
	}
}

// Listed implements cleanup.Liveness. Before the first list of the platform has
// been read, every VM counts as listed.
func (m *members) Listed(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.listingRead || m.listedVMs[vm]
}

// vmNames returns the set of the names of the VMs.
func vmNames(vms []model.ListedVM) map[string]bool {
	names := make(map[string]bool, len(vms))
	for _, vm := range vms {
		names[vm.Name] = true
	}
	return names
}
