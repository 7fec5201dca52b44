package daemon

import (
	"context"

	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/timeline"
)

// pollListing reads the platform's list of VMs and targets at intervals until
// ctx ends.
func (d *Daemon) pollListing(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, d.settings.Platform.CallTimeout)
		listing, err := d.lister.List(callCtx)
		cancel()
		if err != nil {
			d.log.Debug().Err(err).Msg("reading the list of VMs and targets failed")
		} else {
			d.applyListing(listing)
		}
		pause.For(ctx, d.settings.Platform.ListInterval)
	}
}

// applyListing updates the members, the routing table and the owned groups from
// the platform's list. It does nothing before a configuration is in force.
func (d *Daemon) applyListing(listing model.Listing) {
	configuration := d.follower.Current()
	if configuration == nil {
		return // the number of groups is part of the configuration
	}
	d.recordLeavingTargets(listing.Targets)
	d.members.setListing(listing)
	groups := group.FromListing(listing.Targets, configuration.GroupsPerPool)
	d.routingTable.SetGroups(groups)
	d.owners.SetGroups(groups)
}

// recordLeavingTargets records an event for each target that is newly listed as
// leaving. Call it before the previous list is replaced.
func (d *Daemon) recordLeavingTargets(targets []model.Target) {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	for _, target := range targets {
		if target.Leaving && !d.members.targets[target.Name].Leaving {
			d.events.Record(timeline.Event{Kind: timeline.TargetLeaving, Target: target.Name})
		}
	}
}
