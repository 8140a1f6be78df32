// Package draining decides which requests a host still serves after its process was asked
// to stop. Callers go on sending on connections that are open. A request that would be cut
// at the end of the grace period is rejected instead, so that its caller can send it to
// another host.
package draining

import (
	"context"
	"log/slog"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/policy"
)

// durationMargin times what a request takes at the longest start and the slowest pace of
// its route's recent requests is what it is expected to take at most.
const durationMargin = 1.5

// Drain is the end of one process. It is safe for concurrent use.
type Drain struct {
	startedAt bootclock.Instant // of the process
	length    time.Duration     // from the request to stop until the remaining requests are aborted
	took      paces
	begun     context.Context
	begin     context.CancelFunc
	since     bootclock.Instant // written before begun is done
}

// New returns the drain of a process that has not been asked to stop yet. Requests that
// remain when it has lasted for length are aborted.
func New(length time.Duration) *Drain {
	d := &Drain{startedAt: bootclock.Now(), length: max(0, length), took: paces{byRoute: make(map[string]*recentPaces)}}
	d.begun, d.begin = context.WithCancel(context.Background())
	return d
}

// Begin starts the drain as of the given time, at which the process was asked to stop. It
// must be called once.
func (d *Drain) Begin(asOf bootclock.Instant) {
	d.since = asOf
	d.begin()
}

// Begun returns a context that is done when the drain has begun.
func (d *Drain) Begun() context.Context { return d.begun }

// Age returns how long the drain has lasted, and false if it has not begun.
func (d *Drain) Age() (time.Duration, bool) {
	if d.begun.Err() == nil {
		return 0, false
	}
	return bootclock.Since(d.since), true
}

// LogAttr returns the ages of the process and of its drain, 0 if that has not begun.
func (d *Drain) LogAttr() slog.Attr {
	age, _ := d.Age()
	return slog.Group("process", "age_ms", bootclock.Since(d.startedAt).Milliseconds(), "drain_age_ms", age.Milliseconds())
}

// Record adds the pace of a complete request to what is known of its route.
func (d *Drain) Record(route string, took Pace) { d.took.record(route, took) }

// Fits reports whether a call that has not been sent yet is expected to end before the
// process aborts it.
func (d *Drain) Fits(a *edge.AuthorizedCall) bool {
	age, begun := d.Age()
	if !begun {
		return true
	}
	return age+d.Longest(a) <= d.length
}

// Longest returns how long a call takes at most from now on.
func (d *Drain) Longest(a *edge.AuthorizedCall) time.Duration {
	return min(a.TimeLeft(), d.longestDuration(a))
}

// TimeLeft returns how long it takes until the process aborts its remaining requests, and false if
// the drain has not begun.
func (d *Drain) TimeLeft() (left time.Duration, begun bool) {
	age, begun := d.Age()
	return d.length - age, begun
}

// Outlasts reports whether a run that is expected to produce so many more tokens is still
// running when the process aborts it.
func (d *Drain) Outlasts(a *edge.AuthorizedCall, tokens int) bool {
	age, begun := d.Age()
	if !begun {
		return false
	}
	pace, known := d.took.longest(a.Route.Name)
	if !known {
		pace.PerToken = tokenTime(a)
	}
	return age+time.Duration(tokens)*pace.PerToken > d.length
}

// defaultTokenTime is how long an engine takes for a token at most, for routes without an
// objective for the pauses of a stream.
const defaultTokenTime = 20 * time.Millisecond

// maxPlainObjectives times the latency objective is how long a plain call takes at most. One
// that takes longer is still answered when it is aborted.
const maxPlainObjectives = 10

// longestDuration returns how long a call takes at most, judged by its route's recent
// requests or, without any, by the route's objectives.
func (d *Drain) longestDuration(a *edge.AuthorizedCall) time.Duration {
	recent, known := d.took.longest(a.Route.Name)
	tokens := 0
	if a.Route.Kind == policy.Streaming {
		if a.Call.Generation == nil || a.Call.Generation.MaxOutputTokens <= 0 {
			return a.TimeLeft()
		}
		tokens = max(0, a.Call.Generation.MaxOutputTokens-int(a.ResumesAfter())*tokensPerEvent(a))
	}
	switch {
	case known:
		return time.Duration(durationMargin * float64(recent.Start+time.Duration(tokens)*recent.PerToken))
	case a.Route.Kind != policy.Streaming && a.Route.Objective > 0:
		return maxPlainObjectives * a.Route.Objective
	case a.Route.Kind != policy.Streaming:
		return a.TimeLeft()
	default:
		return a.Route.Objective + time.Duration(tokens)*tokenTime(a)
	}
}

// tokenTime returns how long an engine takes for a token at most, judged by the route's
// objective for the pauses of a stream.
func tokenTime(a *edge.AuthorizedCall) time.Duration {
	if a.Route.GapObjective <= 0 {
		return defaultTokenTime
	}
	return a.Route.GapObjective / time.Duration(tokensPerEvent(a))
}

func tokensPerEvent(a *edge.AuthorizedCall) int {
	if a.Service == nil || a.Service.Engine == nil {
		return 1
	}
	return max(1, a.Service.Engine.TokensPerEvent)
}
