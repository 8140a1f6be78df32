package experiment

import (
	"container/heap"
	"time"
)

// event is a function to call at a virtual time. Events at the same time run in the order
// in which they were scheduled.
type event struct {
	at    time.Time
	order int64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// timeline schedules events and runs them in order of virtual time.
type timeline struct {
	now    time.Time
	events eventHeap
	order  int64
}

// schedule schedules run for a time, or for now if that has passed.
func (l *timeline) schedule(when time.Time, run func()) {
	if when.Before(l.now) {
		when = l.now
	}
	l.order++
	heap.Push(&l.events, event{at: when, order: l.order, run: run})
}

func (l *timeline) scheduleAfter(delay time.Duration, run func()) { l.schedule(l.now.Add(delay), run) }

// runNext runs the next event that is due by until and reports whether there was one.
func (l *timeline) runNext(until time.Time) bool {
	if len(l.events) == 0 || l.events[0].at.After(until) {
		return false
	}
	e := heap.Pop(&l.events).(event)
	l.now = e.at
	e.run()
	return true
}
