package owner

import (
	"sort"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// GroupView is what the owner of a group knows about it.
type GroupView struct {
	Group      string
	Epoch      model.Epoch
	QueuedWork time.Duration // estimated wait of a new request
	core.View
}

// viewer is a core that can be displayed.
type viewer interface{ View() core.View }

// view asks the loop, which alone may use the core. It returns false when the
// runtime has ended.
func (r *runtime) view() (GroupView, bool) {
	answer := make(chan core.View, 1)
	select {
	case r.views <- answer:
	case <-r.done:
		return GroupView{}, false
	}
	select {
	case view := <-answer:
		return GroupView{Group: r.group, Epoch: r.epoch, QueuedWork: r.digest().QueuedWork, View: view}, true
	case <-r.done:
		return GroupView{}, false
	}
}

func (r *runtime) showCore(answer chan core.View) {
	if v, ok := r.core.(viewer); ok {
		answer <- v.View()
		return
	}
	answer <- core.View{}
}

// Views returns what this VM knows about the groups that it owns, by name.
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
