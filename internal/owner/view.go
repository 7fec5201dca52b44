package owner

import (
	"sort"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// GroupView is a snapshot of the state of a group at its owner.
type GroupView struct {
	Group      string
	Epoch      model.Epoch
	QueuedWork time.Duration // estimated wait of a new request
	core.View
}

// viewer is implemented by cores that can return a snapshot of their state.
type viewer interface{ View() core.View }

// view requests a snapshot from loop, which alone may use the core. It returns
// false if the runtime has ended.
func (r *runtime) view() (GroupView, bool) {
	result := make(chan core.View, 1)
	select {
	case r.viewRequests <- result:
	case <-r.done:
		return GroupView{}, false
	}
	select {
	case view := <-result:
		return GroupView{Group: r.group, Epoch: r.epoch, QueuedWork: r.digest().QueuedWork, View: view}, true
	case <-r.done:
		return GroupView{}, false
	}
}

// sendView sends a snapshot of the core, or an empty one if the core is not a
// viewer.
func (r *runtime) sendView(result chan core.View) {
	if v, ok := r.core.(viewer); ok {
		result <- v.View()
		return
	}
	result <- core.View{}
}

// Views returns snapshots of the groups that this VM owns, sorted by name.
func (m *Manager) Views() []GroupView {
	m.mu.Lock()
	owned := make([]*runtime, 0, len(m.owned))
	for _, r := range m.owned {
		owned = append(owned, r)
	}
	m.mu.Unlock()
	views := make([]GroupView, 0, len(owned))
	for _, r := range owned {
		if view, ok := r.view(); ok {
			views = append(views, view)
		}
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Group < views[j].Group })
	return views
}
