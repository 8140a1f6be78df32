// Package fairqueue orders waiting requests by priority, then by weighted fair
// queueing over client accounts. Requests that have waited long may overtake higher
// priorities, so that no priority starves.
package fairqueue

import (
	"container/heap"
	"time"
)

const (
	// PriorityLevels is the number of priorities; 0 is the lowest.
	PriorityLevels = 10
	// agedShare is the share of the served tokens that may go to aged requests,
	// which overtake higher priorities.
	agedShare = 0.125
	// maxAgedCredit bounds the credit of aged requests, in tokens, that builds up
	// while none overtakes.
	maxAgedCredit = 8192
	// minEvictAccounts is the number of accounts below which none is evicted.
	minEvictAccounts = 1024
	// DefaultAgeAfter is the wait after which a request counts as aged and may
	// overtake higher priorities.
	DefaultAgeAfter = 20 * time.Second
)

// Item is a waiting request.
type Item struct {
	ID        string
	Account   string
	Weight    float64 // the account's weight in fair queueing; 0 means 1
	Priority  int     // 0 to PriorityLevels-1; values outside are clamped
	Tokens    float64 // expected output tokens
	Submitted time.Time
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	levels          [PriorityLevels]level
	accounts        map[string]*account
	items           map[string]*queuedItem
	virtualTime     float64 // tokens served per unit of weight
	lastFinishTag   float64 // latest finish tag of any served request
	agedCredit      float64 // tokens that aged requests may still take
	ageAfter        time.Duration
	evictAt         int // number of accounts at which idle ones are evicted
	skippedItems    []*queuedItem
	skippedAccounts []*account
	skippedFlows    []skippedFlow
}

// skippedFlow is a flow that was taken out of its heap until ResetSkips, since its
// account or all of its items are skipped.
type skippedFlow struct {
	flow  *flow
	level int
}

// account is the state of one client account over all levels.
type account struct {
	name      string
	finishTag float64 // virtual time at which its served requests end
	waiting   int
	skipped   bool
	flows     [PriorityLevels]*flow
}

// queuedItem is an item of the queue. It is referenced by both its flow and its
// level, which drop it only after it is marked as removed.
type queuedItem struct {
	Item
	removed bool
	skipped bool
}

// New returns an empty Queue in which a request may overtake higher priorities
// after it has waited for ageAfter, or for DefaultAgeAfter if that is 0 or less.
func New(ageAfter time.Duration) *Queue {
	if ageAfter <= 0 {
		ageAfter = DefaultAgeAfter
	}
	return &Queue{
		accounts: make(map[string]*account), items: make(map[string]*queuedItem),
		ageAfter: ageAfter, evictAt: minEvictAccounts,
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Waiting returns the number of waiting requests of an account.
func (q *Queue) Waiting(name string) int {
	if a, ok := q.accounts[name]; ok {
		return a.waiting
	}
	return 0
}

// Push adds an item. It does nothing if an item of the same ID is waiting.
func (q *Queue) Push(item Item) {
	if _, ok := q.items[item.ID]; ok {
		return
	}
	if item.Weight <= 0 {
		item.Weight = 1
	}
	item.Priority = min(max(item.Priority, 0), PriorityLevels-1)
	n := &queuedItem{Item: item}
	q.items[item.ID] = n
	a := q.account(item.Account)
	a.waiting++
	l := &q.levels[item.Priority]
	l.arrivals = append(l.arrivals, n)
	l.waiting++
	l.waitingTokens += item.Tokens
	f := a.flow(item.Priority)
	f.items = append(f.items, n)
	f.waitingTokens += item.Tokens
	if !f.inHeap {
		f.startTag = q.startTag(a)
		f.inHeap = true
		heap.Push(&l.flows, f)
	}
}

// Remove removes an item without serving it, and reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	n, ok := q.items[id]
	if !ok {
		return false
	}
	q.remove(n)
	return true
}

// Next returns the item to serve next without removing it, and false if all waiting
// items are skipped or none waits.
func (q *Queue) Next(now time.Time) (Item, bool) {
	f := q.nextFlow(now)
	if f == nil {
		return Item{}, false
	}
	return f.firstServable().Item, true
}

// Skip hides an item from Next until ResetSkips.
func (q *Queue) Skip(id string) {
	if n, ok := q.items[id]; ok {
		n.skipped = true
		q.skippedItems = append(q.skippedItems, n)
	}
}

// SkipAccount hides all items of an account from Next until ResetSkips.
func (q *Queue) SkipAccount(name string) {
	if a, ok := q.accounts[name]; ok {
		a.skipped = true
		q.skippedAccounts = append(q.skippedAccounts, a)
	}
}

// ResetSkips makes all skipped items and accounts available to Next again.
func (q *Queue) ResetSkips() {
	for _, n := range q.skippedItems {
		n.skipped = false
	}
	for _, a := range q.skippedAccounts {
		a.skipped = false
	}
	for _, skipped := range q.skippedFlows {
		heap.Push(&q.levels[skipped.level].flows, skipped.flow)
	}
	q.skippedItems, q.skippedAccounts, q.skippedFlows = q.skippedItems[:0], q.skippedAccounts[:0], q.skippedFlows[:0]
}

// Serve removes an item that is being served, and charges its expected tokens to
// its account.
func (q *Queue) Serve(id string, now time.Time) {
	n, ok := q.items[id]
	if !ok {
		return
	}
	a := q.accounts[n.Account]
	start := q.startTag(a)
	q.virtualTime = max(q.virtualTime, start)
	a.finishTag = start + n.Tokens/n.Weight
	q.lastFinishTag = max(q.lastFinishTag, a.finishTag)
	if q.overtakes(n, now) {
		q.agedCredit -= n.Tokens
	} else {
		q.agedCredit = min(maxAgedCredit, q.agedCredit+agedShare*n.Tokens)
	}
	q.remove(n)
	if len(q.items) == 0 {
		q.virtualTime = q.lastFinishTag // once the queue is empty, all accounts are equal again
	}
	q.evictIdleAccounts()
}

// AdjustCharge corrects the charge of a served request: tokens is the number that it
// produced minus the number that Serve charged, and may be negative.
func (q *Queue) AdjustCharge(name string, weight, tokens float64) {
	a, ok := q.accounts[name]
	if !ok {
		return
	}
	if weight <= 0 {
		weight = 1
	}
	a.finishTag = max(0, a.finishTag+tokens/weight)
	q.lastFinishTag = max(q.lastFinishTag, a.finishTag)
}

// evictIdleAccounts drops the accounts that have no waiting request and whose served
// requests have ended in virtual time. It does so only when there are twice as many
// accounts as the last eviction left.
func (q *Queue) evictIdleAccounts() {
	if len(q.accounts) < q.evictAt {
		return
	}
	for name, a := range q.accounts {
		if a.waiting == 0 && a.finishTag <= q.virtualTime {
			delete(q.accounts, name)
		}
	}
	q.evictAt = max(minEvictAccounts, 2*len(q.accounts))
}

// account returns the state of an account and creates it if necessary.
func (q *Queue) account(name string) *account {
	a, ok := q.accounts[name]
	if !ok {
		a = &account{name: name, finishTag: q.virtualTime}
		q.accounts[name] = a
	}
	return a
}

// startTag returns the virtual start time of the account's next request.
func (q *Queue) startTag(a *account) float64 { return max(q.virtualTime, a.finishTag) }

// remove takes an item out of the queue and its tokens out of all sums.
func (q *Queue) remove(n *queuedItem) {
	n.removed = true
	delete(q.items, n.ID)
	a := q.accounts[n.Account]
	a.waiting--
	a.flows[n.Priority].waitingTokens -= n.Tokens
	l := &q.levels[n.Priority]
	l.waiting--
	l.waitingTokens -= n.Tokens
	l.dropRemoved()
}

// nextFlow returns the flow to serve next, or nil. It is of the highest level,
// unless aged requests have credit: then it is of the lower level whose oldest
// request has aged and has waited longest.
func (q *Queue) nextFlow(now time.Time) *flow {
	var best *flow
	var bestSubmitted time.Time
	for i := PriorityLevels - 1; i >= 0; i-- {
		l := &q.levels[i]
		if best != nil && (q.agedCredit <= 0 || !l.hasAged(now, q.ageAfter)) {
			continue
		}
		f := q.firstFlow(i)
		if f == nil {
			continue
		}
		if best == nil || bestSubmitted.IsZero() || l.oldest().Submitted.Before(bestSubmitted) {
			if best != nil {
				bestSubmitted = l.oldest().Submitted
			}
			best = f
		}
	}
	return best
}

// highestWaitingLevel returns the highest level with a waiting request, or -1.
func (q *Queue) highestWaitingLevel() int {
	for i := PriorityLevels - 1; i >= 0; i-- {
		if q.levels[i].waiting > 0 {
			return i
		}
	}
	return -1
}

// overtakes reports whether serving the item now is overtaking by age.
func (q *Queue) overtakes(n *queuedItem, now time.Time) bool {
	return n.Priority < q.highestWaitingLevel() && now.Sub(n.Submitted) >= q.ageAfter
}

// firstFlow returns the servable flow of a level with the lowest start tag, or nil.
// Start tags in the heap may be too low, since the account may have been served, also
// on another level, after they were set; they are corrected when they reach the top.
func (q *Queue) firstFlow(i int) *flow {
	l := &q.levels[i]
	for len(l.flows) > 0 {
		f := l.flows[0]
		f.dropRemoved()
		if len(f.items) == 0 {
			f.inHeap = false
			heap.Pop(&l.flows)
			continue
		}
		if f.account.skipped || f.firstServable() == nil {
			heap.Pop(&l.flows)
			q.skippedFlows = append(q.skippedFlows, skippedFlow{flow: f, level: i})
			continue
		}
		if start := f.account.finishTag; start > f.startTag {
			f.startTag = start
			heap.Fix(&l.flows, 0)
			continue
		}
		return f
	}
	return nil
}
