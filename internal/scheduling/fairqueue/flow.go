package fairqueue

// flow holds the requests of one account at one priority level, in order of arrival.
type flow struct {
	account       *account
	items         []*queuedItem
	startTag      float64 // virtual start time of its first request, or a lower bound of it
	inHeap        bool    // in the flowHeap of its level
	waitingTokens float64 // expected tokens of its waiting requests
}

// flow returns the account's flow at a priority level and creates it if necessary.
func (a *account) flow(level int) *flow {
	if a.flows[level] == nil {
		a.flows[level] = &flow{account: a}
	}
	return a.flows[level]
}

func (f *flow) tokens() float64 { return f.waitingTokens }

// firstServable returns the first item that is neither removed nor skipped, or nil.
func (f *flow) firstServable() *queuedItem {
	for _, n := range f.items {
		if !n.removed && !n.skipped {
			return n
		}
	}
	return nil
}

// dropRemoved drops removed items from the front.
func (f *flow) dropRemoved() {
	for len(f.items) > 0 && f.items[0].removed {
		f.items = f.items[1:]
	}
}

// flowHeap is a heap of flows, ordered by start tag. The account's name breaks ties,
// so that the order is deterministic.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
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
