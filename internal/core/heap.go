package core

// startHeap orders queued requests by the latest time at which a grant is of use.
type startHeap []*requestRow

// Len implements heap.Interface.
func (h startHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h startHeap) Less(i, j int) bool {
	if h[i].latestStart != h[j].latestStart {
		return h[i].latestStart < h[j].latestStart
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h startHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *startHeap) Push(x any) {
	r := x.(*requestRow)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *startHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
