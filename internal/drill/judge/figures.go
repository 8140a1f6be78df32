package judge

import "corianderhitch/internal/drill/record"

// Figure is a measure of a run beside its violations.
type Figure struct {
	Name    string
	Subject string // service or host
	Value   float64
	Bound   float64 // 0 without one
}

// Figures returns measures that show how close a run came to the bounds of rules, and what
// the rules' words leave open.
func Figures(run *record.Run) []Figure {
	x := newIndex(run)
	var out []Figure
	for _, withContinuations := range []bool{false, true} {
		name := "repeats in the fullest window"
		if withContinuations {
			name += ", with continuations"
		}
		for _, l := range x.retryLoads(withContinuations) {
			w := l.fullest()
			out = append(out, Figure{name, l.service, float64(len(w.repeats)), w.bound})
		}
	}
	continuations := make(map[string]float64)
	for _, a := range run.Arrivals {
		if a.Continues {
			continuations[a.Service]++
		}
	}
	for _, l := range x.retryLoads(false) {
		out = append(out, Figure{"continuations", l.service, continuations[l.service], 0})
	}
	resets := 0
	for i := range run.Requests {
		q := &run.Requests[i]
		if !q.SentWhole.IsZero() && len(x.arrivals[q.ID]) == 0 && maybeUnread(q) && q.Ended.Sub(q.SentWhole) > x.bounds.Lost {
			resets++
		}
	}
	return append(out, Figure{"resets later than the bound, perhaps unread", "", float64(resets), 0})
}
