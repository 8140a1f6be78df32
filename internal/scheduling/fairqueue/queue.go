// Package fairqueue orders waiting requests: by priority, then by weighted fair
// queueing over client accounts, with ageing so that no priority starves.
package fairqueue

import (
	"container/heap"
	"time"
)

const (
	// Levels is the number of priorities; 0 is the lowest.
	PriorityLevels = 10
	// agedShare is the share of granted tokens that may go to requests which
	// overtake higher priorities by their age.
	agedShare = 0.125
	// maxAgedCredit bounds the tokens that aged requests can save up.
	maxAgedCredit = 8192
	// leastCompact is the number of accounts below which none is forgotten.
	leastCompact = 1024
	// DefaultAge is the wait after which a request may overtake higher priorities.
	DefaultAgeAfter = 20 * time.Second
)

// Item is a waiting request.
type Item struct {
	ID        string
	Account   string
	Weight    float64 // share of the account; 0 stands for 1
	Priority  int     // 0 to Levels-1
	Tokens    float64 // expected work
	Submitted time.Time
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	levels        [PriorityLevels]level
	accounts      map[string]*account
	items         map[string]*node
	virtual       float64 // virtual time: tokens served per unit of weight
	latest        float64 // virtual time at which all served work ends
	agedCredit    float64 // tokens
	age           time.Duration
	compactAt     int // accounts
	asideItems    []*node
	asideAccounts []*account
	asideFlows    []asideFlow
}

// asideFlow is a flow without an item that may be served at the moment.
type asideFlow struct {
	flow  *flow
	level int
}

// account is the state of one client account over all levels.
type account struct {
	name    string
	finish  float64 // virtual time at which its served work ends
	waiting int
	aside   bool
	flows   [PriorityLevels]*flow
}

// node is an item with its place in the arrival order of its level.
type node struct {
	Item
	removed bool
	aside   bool
}

// New returns an empty Queue in which a request may overtake higher priorities
// after the given wait, or DefaultAge if that is 0.
func New(age time.Duration) *Queue {
	if age <= 0 {
		age = DefaultAgeAfter
	}
	return &Queue{
		accounts: make(map[string]*account), items: make(map[string]*node),
		age: age, compactAt: leastCompact,
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

// Push adds an item. An item whose ID waits already is ignored.
func (q *Queue) Push(item Item) {
	if _, ok := q.items[item.ID]; ok {
		return
	}
	if item.Weight <= 0 {
		item.Weight = 1
	}
	item.Priority = min(max(item.Priority, 0), PriorityLevels-1)
	n := &node{Item: item}
	q.items[item.ID] = n
	a := q.account(item.Account)
	a.waiting++
	l := &q.levels[item.Priority]
	l.arrivals = append(l.arrivals, n)
	l.waiting++
	l.tokens += item.Tokens
	f := a.flow(item.Priority)
	f.items = append(f.items, n)
	f.work += item.Tokens
	if !f.queued {
		f.start = q.startOf(a)
		f.queued = true
		heap.Push(&l.flows, f)
	}
}

// Remove withdraws an item and tells whether it was there.
func (q *Queue) Remove(id string) bool {
	n, ok := q.items[id]
	if !ok {
		return false
	}
	q.drop(n)
	return true
}

// Next returns the item that should be served next without removing it.
func (q *Queue) Next(now time.Time) (Item, bool) {
	f := q.choose(now)
	if f == nil {
		return Item{}, false
	}
	return f.head().Item, true
}

// SetAside hides an item from Next until Return.
func (q *Queue) Skip(id string) {
	if n, ok := q.items[id]; ok {
		n.aside = true
		q.asideItems = append(q.asideItems, n)
	}
}

// SetAccountAside hides all items of an account from Next until Return.
func (q *Queue) SkipAccount(name string) {
	if a, ok := q.accounts[name]; ok {
		a.aside = true
		q.asideAccounts = append(q.asideAccounts, a)
	}
}

// Return ends all SetAside and SetAccountAside.
func (q *Queue) ResetSkips() {
	for _, n := range q.asideItems {
		n.aside = false
	}
	for _, a := range q.asideAccounts {
		a.aside = false
	}
	for _, x := range q.asideFlows {
		heap.Push(&q.levels[x.level].flows, x.flow)
	}
	q.asideItems, q.asideAccounts, q.asideFlows = q.asideItems[:0], q.asideAccounts[:0], q.asideFlows[:0]
}

// Serve removes the item because it is being served, and charges its account.
func (q *Queue) Serve(id string, now time.Time) {
	n, ok := q.items[id]
	if !ok {
		return
	}
	a := q.accounts[n.Account]
	start := q.startOf(a)
	q.virtual = max(q.virtual, start)
	a.finish = start + n.Tokens/n.Weight
	q.latest = max(q.latest, a.finish)
	if q.overtakes(n, now) {
		q.agedCredit -= n.Tokens
	} else {
		q.agedCredit = min(maxAgedCredit, q.agedCredit+agedShare*n.Tokens)
	}
	q.drop(n)
	if len(q.items) == 0 {
		q.virtual = q.latest // nobody waits, so that nobody is owed anything
	}
	q.compact()
}

// Charge corrects an account by the difference between the tokens that its
// request took and those expected of it.
func (q *Queue) AdjustCharge(name string, weight, tokens float64) {
	a, ok := q.accounts[name]
	if !ok {
		return
	}
	if weight <= 0 {
		weight = 1
	}
	a.finish = max(0, a.finish+tokens/weight)
	q.latest = max(q.latest, a.finish)
}

// compact forgets accounts that have nothing waiting and no debt, once there are
// twice as many as were left the last time.
func (q *Queue) compact() {
	if len(q.accounts) < q.compactAt {
		return
	}
	for name, a := range q.accounts {
		if a.waiting == 0 && a.finish <= q.virtual {
			delete(q.accounts, name)
		}
	}
	q.compactAt = max(leastCompact, 2*len(q.accounts))
}

func (q *Queue) account(name string) *account {
	a, ok := q.accounts[name]
	if !ok {
		a = &account{name: name, finish: q.virtual}
		q.accounts[name] = a
	}
	return a
}

func (q *Queue) startOf(a *account) float64 { return max(q.virtual, a.finish) }

func (q *Queue) drop(n *node) {
	n.removed = true
	delete(q.items, n.ID)
	a := q.accounts[n.Account]
	a.waiting--
	a.flows[n.Priority].work -= n.Tokens
	l := &q.levels[n.Priority]
	l.waiting--
	l.tokens -= n.Tokens
	l.trim()
}

// choose returns the flow to serve next, or nil. The highest level goes first,
// unless a lower one has aged and aged requests have credit.
func (q *Queue) choose(now time.Time) *flow {
	var best *flow
	var bestSince time.Time
	for i := PriorityLevels - 1; i >= 0; i-- {
		l := &q.levels[i]
		if best != nil && (q.agedCredit <= 0 || !l.agedBy(now, q.age)) {
			continue
		}
		f := q.first(i)
		if f == nil {
			continue
		}
		if best == nil || bestSince.IsZero() || l.oldest().Submitted.Before(bestSince) {
			if best != nil {
				bestSince = l.oldest().Submitted
			}
			best = f
		}
	}
	return best
}

func (q *Queue) highest() int {
	for i := PriorityLevels - 1; i >= 0; i-- {
		if q.levels[i].waiting > 0 {
			return i
		}
	}
	return -1
}

func (q *Queue) overtakes(n *node, now time.Time) bool {
	return n.Priority < q.highest() && now.Sub(n.Submitted) >= q.age
}

// first returns the flow of a level with the least start tag, or nil. Tags in
// the heap may be too low, since an account may have been served on another
// level meanwhile; they are corrected when they come up.
func (q *Queue) first(i int) *flow {
	l := &q.levels[i]
	for len(l.flows) > 0 {
		f := l.flows[0]
		f.trim()
		if len(f.items) == 0 {
			f.queued = false
			heap.Pop(&l.flows)
			continue
		}
		if f.account.aside || f.head() == nil {
			heap.Pop(&l.flows)
			q.asideFlows = append(q.asideFlows, asideFlow{flow: f, level: i})
			continue
		}
		if start := f.account.finish; start > f.start {
			f.start = start
			heap.Fix(&l.flows, 0)
			continue
		}
		return f
	}
	return nil
}
