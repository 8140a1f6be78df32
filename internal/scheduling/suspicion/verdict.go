// Package suspicion finds the requests that crash the targets which run them,
// and clears those that only ran beside them.
//
// One crash puts all that ran on the target under suspicion; they are kept apart
// from each other, so that a second crash has one explanation. A request that
// alone was in two crashes is refused from then on, and what ran beside it is
// clear. One request so costs at most two targets. A request that had made tokens
// before a target died has run on its own account already: two deaths under it may
// be those of a rack, so that it gets a target of its own before it is refused. A request that runs to its
// end is clear, and suspicion expires.
package suspicion

import "time"

// Verdict tells how a request may be run.
type Verdict string

// The verdicts, by rising suspicion.
const (
	Clear   Verdict = "clear"   // run anywhere
	Spread  Verdict = "spread"  // was in one unexplained crash; keep apart from others of that crash
	Isolate Verdict = "isolate" // was in several unexplained crashes; run on a target of its own
	Reject  Verdict = "refuse"  // is the cause; never run again
)

const (
	// Memory is how long a crash is held against a request. A caller that
	// resends for longer may cost two more targets.
	Retention = 30 * time.Minute
	// isolateAfter is the number of crashes that point at one request.
	isolateAfter = 2
	// refuseAfter is the number of crashes after which a request is refused even
	// if others were in all of them.
	refuseAfter = 3
	// sameWithin is the time within which reports of a target's death are taken
	// as one.
	sameWithin = 5 * time.Second
	// refuseNear is the number of crashes after which a request is refused even
	// if it ran on after some of them: it may crash its targets later each time.
	refuseNear = 5
	// maxCrashes bounds the memory: the oldest crash is dropped.
	maxCrashes = 64
	// maxFingerprints bounds the requests of one crash, 8 B each.
	maxFingerprints = 512
)

// Crash is the death of a target with the fingerprints that it ran. Two reports
// of one crash count once: by their ID, or by target and time if one was heard
// from another host.
type Crash struct {
	ID       string // unique
	Target   string
	Remote   bool // from another host
	At       time.Time
	Suspects []uint64
	// Progressed lists those that had made tokens when the target died.
	Progressed []uint64
}

// same tells whether two reports are of one crash. Hosts learn of it at somewhat
// different times, and a target is not back within sameWithin.
func (c *Crash) same(other *Crash) bool {
	if c.ID == other.ID {
		return true
	}
	return (c.Remote || other.Remote) && c.Target != "" && c.Target == other.Target && c.At.Sub(other.At).Abs() < sameWithin
}
