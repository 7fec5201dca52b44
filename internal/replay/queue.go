package replay

import (
	"container/heap"
	"time"
)

// happening is one entry of the event queue.
type happening struct {
	at     time.Duration
	number uint64 // order of entry, which makes equal times deterministic
	do     func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }

func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].number < h[j].number)
}

func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }

func (h *happenings) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = happening{}
	*h = (*h)[:last]
	return x
}

// timeline is the event queue and the virtual clock.
type timeline struct {
	now    time.Duration
	number uint64
	queue  happenings
}

// after runs do when delay has passed.
func (t *timeline) after(delay time.Duration, do func()) {
	t.number++
	heap.Push(&t.queue, happening{at: t.now + delay, number: t.number, do: do})
}

// run runs everything up to the given time.
func (t *timeline) run(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		next := heap.Pop(&t.queue).(happening)
		t.now = next.at
		next.do()
	}
	t.now = until
}
