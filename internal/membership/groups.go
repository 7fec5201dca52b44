package membership

import (
	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

// GroupView is the newest that was heard about a target group.
type GroupView struct {
	Digest  rpcapi.GroupDigest
	Owner   model.Holder
	HeardAt core.Time
}

// enterGroups keeps the view with the greatest epoch: a former owner that has
// not learnt of the takeover still announces an older one.
func (t *Table) enterGroups(now core.Time, digest rpcapi.Digest) {
	for _, group := range digest.Groups {
		if known, ok := t.groups[group.Group]; ok && known.Digest.Epoch > group.Epoch {
			continue
		}
		t.groups[group.Group] = GroupView{Digest: group, Owner: digest.From, HeardAt: now}
	}
}

// expireGroups drops views that their owner has not renewed. A digest with many
// groups arrives in parts, so a single digest does not show what is missing.
func (t *Table) expireGroups(now core.Time) {
	for name, view := range t.groups {
		if now-view.HeardAt >= t.settings.UnreachableAfter {
			delete(t.groups, name)
		}
	}
}

// Group returns the newest view of a group that is not older than
// Settings.UnreachableAfter.
func (t *Table) Group(name string) (GroupView, bool) {
	view, ok := t.groups[name]
	return view, ok
}

// NewestConfig returns the greatest configuration version that an incarnation
// that is alive or suspect has announced, and all that have it.
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
