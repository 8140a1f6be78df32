package experiment

import "time"

const (
	// pauseGrace is the time after a target's first answer in a pause within which requests
	// of the same gateway may still reach it.
	pauseGrace = 500 * time.Millisecond
	// maxArrivalsInPause is how many requests of a gateway may reach a target between
	// pauseGrace and the end of a pause.
	maxArrivalsInPause = 2
	// returnWindow is the time after a pause in which arrivals count as returning requests.
	returnWindow = 4 * time.Second
)

// ReturnInterval is the time in which returning requests are counted together.
const ReturnInterval = 250 * time.Millisecond

// pauseLog records the requests that reach targets in their pauses and shortly after.
type pauseLog struct {
	pauses []*pauseRecord
}

// pauseRecord is one pause of a target.
type pauseRecord struct {
	target     string
	start, end time.Time
	answered   map[int]time.Time // by gateway, when the target first rejected its request
	arrivals   int
	late       map[int]int // by gateway, arrivals after pauseGrace
	returns    []time.Time // arrivals in returnWindow
}

// pause makes a target reject new generations for a time.
func (r *runner) pause(target *targetState, length time.Duration) {
	now := r.timeline.now
	end := now.Add(length)
	target.engine.Pause(end)
	r.metrics.pauses.pauses = append(r.metrics.pauses.pauses, &pauseRecord{
		target: target.name, start: now, end: end, answered: make(map[int]time.Time), late: make(map[int]int),
	})
}

// recordArrival records that a request of a gateway reaches a target.
func (l *pauseLog) recordArrival(target string, gateway int, now time.Time) {
	for _, p := range l.pauses {
		if p.target == target {
			p.recordArrival(gateway, now)
		}
	}
}

func (p *pauseRecord) recordArrival(gateway int, now time.Time) {
	if !now.Before(p.end) {
		if now.Before(p.end.Add(returnWindow)) {
			p.returns = append(p.returns, now)
		}
		return
	}
	p.arrivals++
	answered, ok := p.answered[gateway]
	switch {
	case !ok:
		p.answered[gateway] = now
	case !now.Before(answered.Add(pauseGrace)):
		p.late[gateway]++
	}
}

// arrivals returns the number of requests that reached targets in their pauses.
func (l *pauseLog) arrivals() int {
	n := 0
	for _, p := range l.pauses {
		n += p.arrivals
	}
	return n
}

// overBudget returns the number of those that were more than a gateway may send.
func (l *pauseLog) overBudget() int {
	n := 0
	for _, p := range l.pauses {
		for _, late := range p.late {
			n += max(0, late-maxArrivalsInPause)
		}
	}
	return n
}

// peakReturn returns the most requests that reached one target in any ReturnInterval after
// its pause.
func (l *pauseLog) peakReturn() int {
	most := 0
	for _, p := range l.pauses {
		first := 0
		for i, at := range p.returns {
			for !p.returns[first].After(at.Add(-ReturnInterval)) {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// returnCurve returns the mean number of requests that reached a target in each
// ReturnInterval of returnWindow after its pause, nil if there was no pause.
func (l *pauseLog) returnCurve() []float64 {
	if len(l.pauses) == 0 {
		return nil
	}
	counts := make([]float64, returnWindow/ReturnInterval)
	for _, p := range l.pauses {
		for _, at := range p.returns {
			counts[at.Sub(p.end)/ReturnInterval]++
		}
	}
	for i := range counts {
		counts[i] = round(counts[i] / float64(len(l.pauses)))
	}
	return counts
}
