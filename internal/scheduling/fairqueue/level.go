package fairqueue

import "time"

// level is the requests of one priority.
type level struct {
	flows    flowHeap
	arrivals []*node // in order of arrival, with removed ones until they reach the front
	waiting  int
	tokens   float64 // waiting work
}

func (l *level) trim() {
	for len(l.arrivals) > 0 && l.arrivals[0].removed {
		l.arrivals = l.arrivals[1:]
	}
}

func (l *level) oldest() *node {
	l.trim()
	if len(l.arrivals) == 0 {
		return nil
	}
	return l.arrivals[0]
}

// agedBy tells whether the oldest request has waited for the age.
func (l *level) agedBy(now time.Time, age time.Duration) bool {
	oldest := l.oldest()
	return oldest != nil && now.Sub(oldest.Submitted) >= age
}

// TokensAhead returns the waiting work that would be served before a new
// request of the account with the given tokens: all of higher levels, the
// account's own, and of the others on its level what fair queueing lets go
// before the account has had its turns.
func (q *Queue) TokensAhead(name string, weight, tokens float64, priority int) float64 {
	priority = min(max(priority, 0), PriorityLevels-1)
	ahead := 0.0
	for i := priority + 1; i < PriorityLevels; i++ {
		ahead += q.levels[i].tokens
	}
	own := 0.0
	if a, ok := q.accounts[name]; ok && a.flows[priority] != nil {
		own = a.flows[priority].tokens()
	}
	if weight <= 0 {
		weight = 1
	}
	others := max(0, q.levels[priority].tokens-own)
	turns := (own + tokens) * float64(len(q.levels[priority].flows)) / weight
	return ahead + own + min(others, turns)
}

// Oldest returns the submission of the longest waiting request, or the zero time.
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
