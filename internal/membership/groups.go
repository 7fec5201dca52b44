package membership

import (
	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// GroupAnnouncement is the newest state of a target group that an owner announced in
// a heartbeat.
type GroupAnnouncement struct {
	Digest     rpcapi.GroupDigest
	Owner      model.Holder
	ReceivedAt core.Time // when the heartbeat was received
}

// updateGroups records the announcements of a digest. For each group it keeps the
// announcement with the greatest epoch, because a former owner announces its older
// epoch until it learns of the takeover.
func (t *Table) updateGroups(now core.Time, digest rpcapi.Digest) {
	for _, group := range digest.Groups {
		if previous, ok := t.groups[group.Group]; ok && previous.Digest.Epoch > group.Epoch {
			continue
		}
		t.groups[group.Group] = GroupAnnouncement{Digest: group, Owner: digest.From, ReceivedAt: now}
	}
}

// expireGroups drops announcements that were not renewed for
// Settings.UnreachableAfter. It works by age because a digest with many groups
// arrives in parts, so a single digest does not show which groups are missing.
func (t *Table) expireGroups(now core.Time) {
	for name, announcement := range t.groups {
		if now-announcement.ReceivedAt >= t.settings.UnreachableAfter {
			delete(t.groups, name)
		}
	}
}

// Group returns the newest announcement of a group. It reports false if there is
// none that is more recent than Settings.UnreachableAfter.
func (t *Table) Group(name string) (GroupAnnouncement, bool) {
	announcement, ok := t.groups[name]
	return announcement, ok
}

// NewestConfig returns the greatest configuration version that an alive or suspect
// incarnation has announced, and all alive or suspect incarnations that have it.
func (t *Table) NewestConfig() (uint64, []model.Holder) {
	version, holders := uint64(0), []model.Holder(nil)
	for _, entry := range t.Entries() {
		switch announced := entry.Digest.ConfigVersion; {
		case !entry.State.Reachable() || announced == 0 || announced < version:
		case announced > version:
			version, holders = announced, []model.Holder{entry.Holder()}
		default:
			holders = append(holders, entry.Holder())
		}
	}
	return version, holders
}
