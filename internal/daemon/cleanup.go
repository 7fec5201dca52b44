package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/cleanup"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
)

// cleanupDuty is the duty of the VM that deletes objects of gone VMs.
const cleanupDuty = "cleanup"

// cleanupTimeout bounds one pass over the store's objects.
const cleanupTimeout = time.Minute

// runCleanup makes a pass at each interval while this VM has the duty.
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
			d.log.Warn().Err(err).Msg("clean-up of the store was not completed, trying again later")
		}
		cancel()
	}
}

// Listed implements cleanup.Liveness.
func (m *members) Listed(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.listed || m.listedVMs[vm]
}

func listedNames(vms []model.ListedVM) map[string]bool {
	names := make(map[string]bool, len(vms))
	for _, vm := range vms {
		names[vm.Name] = true
	}
	return names
}
