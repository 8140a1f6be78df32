package observer

import (
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
)

// Outcome tells how one poll of a target ended.
type Outcome int

// The outcomes of a poll.
const (
	OutcomeAnswered      Outcome = iota
	OutcomeUnreachable           // nobody listens, or the connection broke
	OutcomeTimeout               // no answer before the deadline
	OutcomeErrorResponse         // an answer that is an error
)

// Sample is what one poll of a target brought.
type Sample struct {
	Outcome Outcome
	Load    engine.LoadReport // zero for plain services
	Cache   control.CacheDelta
}

const (
	// timeoutsUntilUnhealthy is the number of polls without an answer after which
	// a target counts as stalled. One may be lost to a busy processor.
	timeoutsUntilUnhealthy = 2
	// leavingDoubt is how long a target must deny that it is leaving before it is
	// believed without a restart. It is twice the lag of the platform's list.
	leavingDoubt = 60 * time.Second
	// refusalDoubt is the same for a target that only a refusal of a request shows
	// to leave: neither the list nor a report of its own said so. It covers the lag
	// of reports; longer would let one refusal take a whole service away.
	refusalDoubt = 10 * time.Second
)

// Judge turns the polls of one target into its row. It is a state machine
// without I/O or clock.
type StateTracker struct {
	timeouts    int
	wasDown     bool      // a poll was refused since leaving was first seen
	deniedSince time.Time // since when polls say that the target is not leaving
	sawLeaving  bool
	announced   bool // the list or the target's own report said that it leaves
}

// Next returns the row after a poll.
func (j *StateTracker) Update(now time.Time, owner string, row control.TargetState, sample Sample) control.TargetState {
	row.Owner = owner
	j.announced = row.Leaving && (j.announced || row.ListedLeaving || row.Load.Leaving)
	row.Healthy = j.healthy(row.Healthy, sample.Outcome)
	if sample.Outcome == OutcomeAnswered {
		row.Observed = now
		row.Load = sample.Load
	}
	row.Leaving = j.leaving(now, row, sample)
	return row
}

func (j *StateTracker) healthy(before bool, outcome Outcome) bool {
	if outcome != OutcomeTimeout {
		j.timeouts = 0
		return outcome == OutcomeAnswered
	}
	j.timeouts++
	return before && j.timeouts < timeoutsUntilUnhealthy
}

// leaving is sticky: it ends when the target has started anew, or when it has
// denied for long that it is leaving and the platform's list agrees.
func (j *StateTracker) leaving(now time.Time, row control.TargetState, sample Sample) bool {
	if row.ListedLeaving || sample.Load.Leaving {
		j.announced = true
		j.sawLeaving, j.wasDown, j.deniedSince = true, false, time.Time{}
		return true
	}
	if !row.Leaving {
		j.sawLeaving = false
		return false
	}
	if !j.sawLeaving {
		j.sawLeaving, j.wasDown, j.deniedSince = true, false, time.Time{}
	}
	if sample.Outcome != OutcomeAnswered {
		j.wasDown = j.wasDown || sample.Outcome == OutcomeUnreachable
		j.deniedSince = time.Time{}
		return true
	}
	if j.deniedSince.IsZero() {
		j.deniedSince = now
	}
	return !j.wasDown && now.Sub(j.deniedSince) < j.doubt()
}

// doubt is how long the target must deny that it is leaving.
func (j *StateTracker) doubt() time.Duration {
	if j.announced {
		return leavingDoubt
	}
	return refusalDoubt
}
