// Package suspicion identifies the requests that crash the targets which run them,
// and clears their co-residents.
//
// A crash makes all requests that were running on the target suspects. Suspects of
// one crash are placed on different targets, so that a second crash narrows them
// down. The only common suspect of two crashes is rejected from then on, and its
// co-residents are cleared. One request thus crashes at most two targets.
//
// A request that had produced tokens before the crash is isolated before it is
// rejected: it has shown that it can run, and two crashes may share another cause,
// such as a rack. A request that runs to its end is cleared, and suspicion expires
// after Retention.
package suspicion

import "time"

// Verdict says how a request may be run.
type Verdict string

// The verdicts, in the order of increasing suspicion.
const (
	Clear   Verdict = "clear"   // run anywhere
	Spread  Verdict = "spread"  // suspect of one crash without a known culprit; keep apart from its other suspects
	Isolate Verdict = "isolate" // suspect of several crashes without a known culprit; run on a target of its own
	Reject  Verdict = "refuse"  // culprit; do not run until the crashes expire
)

const (
	// Retention is how long a crash counts against a request. A caller that still
	// resends a crashing request after that may crash two more targets.
	Retention = 30 * time.Minute
	// rejectSoleSuspectAfter is the number of crashes after which a request is
	// rejected if it is their only common suspect and had produced no tokens.
	rejectSoleSuspectAfter = 2
	// rejectSuspectAfter is the number of crashes after which a suspect is rejected
	// even if others are suspects of all of them.
	rejectSuspectAfter = 3
	// sameCrashWindow is the time within which a local and a remote report of a
	// target's crash, or two remote ones, count as one crash.
	sameCrashWindow = 5 * time.Second
	// rejectSurvivorAfter is the number of crashes after which a request is rejected
	// even if it survived some of them: it may crash its targets later each time.
	rejectSurvivorAfter = 5
	// maxCrashes bounds the recorded crashes; the oldest is dropped.
	maxCrashes = 64
	// maxSuspectsPerCrash bounds the fingerprints of one crash, 8 B each.
	maxSuspectsPerCrash = 512
)

// Crash is a report of a target's crash. Two reports are of the same crash if they
// have the same ID. They are also of the same crash if at least one came from another
// host and they have the same target and about the same time.
type Crash struct {
	ID       string // unique
	Target   string
	Remote   bool // reported by another host
	At       time.Time
	Suspects []uint64 // fingerprints of the requests that were running on the target
	// Progressed lists the suspects that had produced tokens before the crash.
	Progressed []uint64
}

// isSameCrash reports whether two reports are of the same crash. Hosts notice a
// crash at slightly different times, and a target does not restart within
// sameCrashWindow.
func (c *Crash) isSameCrash(other *Crash) bool {
	if c.ID == other.ID {
		return true
	}
	return (c.Remote || other.Remote) && c.Target != "" && c.Target == other.Target && c.At.Sub(other.At).Abs() < sameCrashWindow
}
