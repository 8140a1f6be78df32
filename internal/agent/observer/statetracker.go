package observer

import (
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
)

// Outcome is how one poll of a target ended.
type Outcome int

// The outcomes of a poll.
const (
	OutcomeAnswered      Outcome = iota
	OutcomeUnreachable           // connection refused or broken
	OutcomeTimeout               // no answer before the deadline
	OutcomeErrorResponse         // an error status or an invalid body
	OutcomeUnknown               // this host is cut off: the poll says nothing about the target
)

// Sample is the result of one poll of a target.
type Sample struct {
	Outcome Outcome
	Load    engine.LoadReport // zero for plain service instances
	Cache   control.CacheDelta
}

const (
	// timeoutsUntilUnhealthy is the number of successive timeouts after which a target
	// counts as stalled. A single one may come from a busy processor.
	timeoutsUntilUnhealthy = 2
	// leavingClearDelay is how long a target must report that it is not leaving before
	// its leaving state is cleared without a restart. It is twice the lag of the
	// platform's list.
	leavingClearDelay = 60 * time.Second
	// inferredLeavingClearDelay is the same for a target that is marked leaving only
	// because it rejected a request: neither the list nor its own report said so. It
	// covers the lag of reports. With a longer delay one rejection could make a whole
	// service unavailable.
	inferredLeavingClearDelay = 10 * time.Second
)

// StateTracker computes the row of one target from its polls. It is a state machine
// without I/O or clock, and is not safe for concurrent use.
type StateTracker struct {
	consecutiveTimeouts int
	wasUnreachable      bool      // a poll has failed to connect since leaving was first seen
	notLeavingSince     time.Time // since when polls report that the target is not leaving
	leavingSeen         bool      // an earlier update has seen this leaving state
	announcedLeaving    bool      // the list or the target's own report said that it is leaving
}

// Update returns the target's row after a poll. Owner is the host that polls.
func (t *StateTracker) Update(now time.Time, owner string, row control.TargetState, sample Sample) control.TargetState {
	row.Owner = owner
	t.announcedLeaving = row.Leaving && (t.announcedLeaving || row.ListedLeaving || row.Load.Leaving)
	row.Healthy = t.healthy(row.Healthy, sample.Outcome)
	if sample.Outcome == OutcomeAnswered {
		row.Observed = now
		row.Load = sample.Load
	}
	row.Leaving = t.leaving(now, row, sample)
	return row
}

func (t *StateTracker) healthy(before bool, outcome Outcome) bool {
	if outcome != OutcomeTimeout {
		t.consecutiveTimeouts = 0
		return outcome == OutcomeAnswered
	}
	t.consecutiveTimeouts++
	return before && t.consecutiveTimeouts < timeoutsUntilUnhealthy
}

// leaving reports whether the target is leaving. The state persists until the target
// has restarted, or has reported for clearDelay that it is not leaving and the
// platform's list agrees.
func (t *StateTracker) leaving(now time.Time, row control.TargetState, sample Sample) bool {
	if row.ListedLeaving || sample.Load.Leaving {
		t.announcedLeaving = true
		t.leavingSeen, t.wasUnreachable, t.notLeavingSince = true, false, time.Time{}
		return true
	}
	if !row.Leaving {
		t.leavingSeen = false
		return false
	}
	if !t.leavingSeen {
		t.leavingSeen, t.wasUnreachable, t.notLeavingSince = true, false, time.Time{}
	}
	if sample.Outcome != OutcomeAnswered {
		t.wasUnreachable = t.wasUnreachable || sample.Outcome == OutcomeUnreachable
		t.notLeavingSince = time.Time{}
		return true
	}
	if t.notLeavingSince.IsZero() {
		t.notLeavingSince = now
	}
	return !t.wasUnreachable && now.Sub(t.notLeavingSince) < t.clearDelay()
}

// clearDelay is how long the target must report that it is not leaving.
func (t *StateTracker) clearDelay() time.Duration {
	if t.announcedLeaving {
		return leavingClearDelay
	}
	return inferredLeavingClearDelay
}
