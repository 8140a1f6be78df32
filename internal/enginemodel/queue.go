package enginemodel

import "sort"

// waitingQueue orders sequences by descending priority, then by arrival. The head of the
// queue is the last item of the slice, so that removing it moves no other item.
type waitingQueue struct{ items []*sequence }

func (q *waitingQueue) push(s *sequence) {
	i := q.index(s)
	q.items = append(q.items, nil)
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = s
}

func (q *waitingQueue) first() *sequence {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[len(q.items)-1]
}

func (q *waitingQueue) remove(s *sequence) {
	i := q.index(s)
	if i < len(q.items) && q.items[i] == s {
		q.items = append(q.items[:i], q.items[i+1:]...)
	}
}

// index returns the position of s, or where to insert it.
func (q *waitingQueue) index(s *sequence) int {
	return sort.Search(len(q.items), func(i int) bool { return !q.items[i].preemptedBefore(s) })
}
