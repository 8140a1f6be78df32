package scheduling

import "time"

// deadlineEntry is the deadline of a request, which may have been granted,
// rejected or canceled since.
type deadlineEntry struct {
	at     time.Time
	ticket string
}

// deadlineHeap is a container/heap of deadlines, the earliest first.
type deadlineHeap []deadlineEntry

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadlineEntry)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
