package daemon

import (
	"context"

	"cicadaslip/internal/group"
	"cicadaslip/internal/model"
	"cicadaslip/internal/pause"
	"cicadaslip/internal/timeline"
)

// followList reads the platform's list.
func (d *Daemon) followList(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, d.settings.Platform.CallTimeout)
		listing, err := d.lister.List(callCtx)
		cancel()
		if err != nil {
			d.log.Debug().Err(err).Msg("list of VMs and targets not available")
		} else {
			d.applyListing(listing)
		}
		pause.For(ctx, d.settings.Platform.ListInterval)
	}
}

func (d *Daemon) applyListing(listing model.Listing) {
	configuration := d.follower.Current()
	if configuration == nil {
		return // the number of groups is part of the configuration
	}
	d.noteLeaving(listing.Targets)
	d.members.setListing(listing)
	groups := group.FromListing(listing.Targets, configuration.GroupsPerPool)
	d.table.SetGroups(groups)
	d.owners.SetGroups(groups)
}

func (d *Daemon) noteLeaving(targets []model.Target) {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	for _, target := range targets {
		if target.Leaving && !d.members.targets[target.Name].Leaving {
			d.events.Record(timeline.Event{Kind: timeline.TargetLeaving, Target: target.Name})
		}
	}
}
