package fairqueue

// flow is the requests of one account at one level, in order of arrival.
type flow struct {
	account *account
	items   []*node
	start   float64 // virtual start of its first request, or less
	queued  bool    // in the heap of its level
	work    float64 // tokens of its waiting requests
}

func (a *account) flow(level int) *flow {
	if a.flows[level] == nil {
		a.flows[level] = &flow{account: a}
	}
	return a.flows[level]
}

func (f *flow) tokens() float64 { return f.work }

// head returns the first item that may be served, or nil.
func (f *flow) head() *node {
	for _, n := range f.items {
		if !n.removed && !n.aside {
			return n
		}
	}
	return nil
}

// trim drops removed items from the front.
func (f *flow) trim() {
	for len(f.items) > 0 && f.items[0].removed {
		f.items = f.items[1:]
	}
}

// flowHeap orders flows by start tag, then by account for a stable order.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].account.name < h[j].account.name
}

func (h flowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	*h = append(*h, x.(*flow))
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
