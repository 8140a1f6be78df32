package judge

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"corianderhitch/internal/drill/record"
)

// excessRetries finds windows in which a service got more repeats than its requests allow. A
// request that goes on from the memory of its run is the same run, unless the target rejects
// it: rejected arrivals count.
func excessRetries(x *index) []Violation {
	var all []Violation
	for _, l := range x.retryLoads(false) {
		for _, w := range l.excesses() {
			ids := make([]string, 0, len(w.repeats))
			for _, a := range w.repeats {
				if !slices.Contains(ids, a.Request) {
					ids = append(ids, a.Request)
				}
			}
			all = append(all, Violation{Rule: Budget, At: w.end, Requests: ids,
				Text: fmt.Sprintf("service %s got %d repeats in the %v until %s, %.1f are allowed:\n  %s", l.service, len(w.repeats), l.window, x.clock(w.end), w.bound, x.ways(ids))})
		}
	}
	return all
}

// retryLoad is what counts towards the retry budget of one service.
type retryLoad struct {
	service string
	window  time.Duration
	ratio   float64
	slack   int
	repeats []record.Arrival // in the order of At
	sent    []time.Time      // requests on routes to the service, sorted
}

// retryWindow is one window of a service.
type retryWindow struct {
	end     time.Time
	bound   float64
	repeats []record.Arrival
}

// retryLoads returns the loads of all services in the order of their names.
func (x *index) retryLoads(withContinuations bool) []*retryLoad {
	byService := make(map[string]*retryLoad)
	of := func(service string) *retryLoad {
		if byService[service] == nil {
			byService[service] = &retryLoad{service: service, window: x.bounds.RetryWindow, ratio: x.bounds.RetryRatio, slack: x.bounds.RetrySlack}
		}
		return byService[service]
	}
	for i := range x.run.Requests {
		q := &x.run.Requests[i]
		if service := x.serviceAt(q.Route, q.Sent); service != "" {
			of(service).sent = append(of(service).sent, q.Sent)
		}
	}
	for _, arrivals := range x.arrivals {
		for _, a := range arrivals[1:] {
			if withContinuations || !a.Continues || !a.Ran {
				of(a.Service).repeats = append(of(a.Service).repeats, a)
			}
		}
	}
	var out []*retryLoad
	for _, l := range byService {
		slices.SortFunc(l.sent, time.Time.Compare)
		slices.SortFunc(l.repeats, func(a, b record.Arrival) int { return a.At.Compare(b.At) })
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *retryLoad) int { return strings.Compare(a.service, b.service) })
	return out
}

// excesses returns the worst of each group of windows beyond their bound that overlap.
func (l *retryLoad) excesses() []retryWindow {
	var out []retryWindow
	for _, end := range l.ends() {
		w := l.at(end)
		excess := w.excess()
		if excess <= 0 {
			continue
		}
		if n := len(out); n > 0 && end.Sub(out[n-1].end) < l.window {
			if excess > out[n-1].excess() {
				out[n-1] = w
			}
			continue
		}
		out = append(out, w)
	}
	return out
}

// fullest returns the window that uses the largest share of its bound.
func (l *retryLoad) fullest() retryWindow {
	var worst retryWindow
	for _, end := range l.ends() {
		if w := l.at(end); worst.end.IsZero() || w.share() > worst.share() {
			worst = w
		}
	}
	return worst
}

// ends returns the ends of windows at which a count changes, sorted.
func (l *retryLoad) ends() []time.Time {
	if len(l.repeats) == 0 {
		return nil
	}
	var out []time.Time
	for _, a := range l.repeats {
		out = append(out, a.At, a.At.Add(l.window-1))
	}
	for _, at := range l.sent {
		for half := range time.Duration(5) {
			out = append(out, at.Add(half*l.window/2-1), at.Add(half*l.window/2))
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return slices.CompactFunc(out, time.Time.Equal)
}

// at returns the window with the given end.
func (l *retryLoad) at(end time.Time) retryWindow {
	until := func(t time.Time) int {
		return sort.Search(len(l.repeats), func(i int) bool { return l.repeats[i].At.After(t) })
	}
	requests := max(l.requests(end), l.requests(end.Add(-l.window/2)), l.requests(end.Add(-l.window)))
	return retryWindow{end: end, bound: l.ratio*float64(requests) + float64(l.slack), repeats: l.repeats[until(end.Add(-l.window)):until(end)]}
}

// requests counts the requests for the service in the window with the given end.
func (l *retryLoad) requests(end time.Time) int {
	until := func(t time.Time) int {
		return sort.Search(len(l.sent), func(i int) bool { return l.sent[i].After(t) })
	}
	return until(end) - until(end.Add(-l.window))
}

func (w retryWindow) excess() float64 { return float64(len(w.repeats)) - w.bound }

func (w retryWindow) share() float64 { return float64(len(w.repeats)) / max(w.bound, 1) }
