package core

// latestStartHeap orders queued requests by the latest time at which a grant
// still allows an answer by the deadline.
type latestStartHeap []*requestRow

// Len implements heap.Interface.
func (h latestStartHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h latestStartHeap) Less(i, j int) bool {
	if h[i].latestStart != h[j].latestStart {
		return h[i].latestStart < h[j].latestStart
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h latestStartHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *latestStartHeap) Push(x any) {
	r := x.(*requestRow)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *latestStartHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
