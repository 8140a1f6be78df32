package fairqueue

import "time"

// level holds the waiting requests of one priority.
type level struct {
	flows         flowHeap
	arrivals      []*queuedItem // in order of arrival; removed ones stay until they reach the front
	waiting       int
	waitingTokens float64 // expected tokens of the waiting requests
}

// dropRemoved drops removed items from the front.
func (l *level) dropRemoved() {
	for len(l.arrivals) > 0 && l.arrivals[0].removed {
		l.arrivals = l.arrivals[1:]
	}
}

// oldest returns the request that has waited longest, or nil.
func (l *level) oldest() *queuedItem {
	l.dropRemoved()
	if len(l.arrivals) == 0 {
		return nil
	}
	return l.arrivals[0]
}

// hasAged reports whether the oldest request has waited for at least ageAfter.
func (l *level) hasAged(now time.Time, ageAfter time.Duration) bool {
	oldest := l.oldest()
	return oldest != nil && now.Sub(oldest.Submitted) >= ageAfter
}

// TokensAhead estimates the expected tokens of the waiting requests that would be
// served before a new request of the account with the given tokens: all requests
// of higher levels, the account's own of the same level, and as much of the other
// accounts' requests on that level as fair queueing serves meanwhile.
func (q *Queue) TokensAhead(name string, weight, tokens float64, priority int) float64 {
	priority = min(max(priority, 0), PriorityLevels-1)
	ahead := 0.0
	for i := priority + 1; i < PriorityLevels; i++ {
		ahead += q.levels[i].waitingTokens
	}
	own := 0.0
	if a, ok := q.accounts[name]; ok && a.flows[priority] != nil {
		own = a.flows[priority].tokens()
	}
	if weight <= 0 {
		weight = 1
	}
	others := max(0, q.levels[priority].waitingTokens-own)
	othersServed := (own + tokens) * float64(len(q.levels[priority].flows)) / weight
	return ahead + own + min(others, othersServed)
}

// OldestSubmitted returns the time at which the request that has waited longest was
// submitted, or the zero time if none waits.
func (q *Queue) OldestSubmitted() time.Time {
	var oldest time.Time
	for i := range q.levels {
		n := q.levels[i].oldest()
		if n != nil && (oldest.IsZero() || n.Submitted.Before(oldest)) {
			oldest = n.Submitted
		}
	}
	return oldest
}
