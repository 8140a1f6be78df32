// Package migration moves runs off leaving engines and keeps replicas of runs. A
// run's memory is copied to another engine while the run goes on (first copy).
// Then the run is stopped, the rest is copied (final copy), and the stream
// continues at the destination.
//
// An engine's link carries one copy at a time. A final copy that waits behind
// another run's first copy stalls its stream, and a copy that is incomplete when the
// source engine exits occupies memory at the destination for seconds. Runs therefore
// move one after the other, and the hosts that have runs at an engine take turns.
// Each host computes its turn on its own, from the loads that the hosts report to
// each other.
package migration

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
)

const (
	// assumedNoticePeriod is how long an engine is assumed to serve after its leaving
	// notice. Reclaimed engines get about 2 s; some less.
	assumedNoticePeriod = 1800 * time.Millisecond
	// shortestNoticePeriod is how long an engine serves at least after its leaving notice.
	shortestNoticePeriod = 1500 * time.Millisecond
	// maxFinalCopyTime is how long a final copy may wait behind the copies of other hosts.
	maxFinalCopyTime = 300 * time.Millisecond
	// switchTime is how long a run needs the link in addition to its first copy: the
	// final copy of a few dozen tokens and two calls.
	switchTime = 30 * time.Millisecond
	// minDomainPenalty and maxDomainPenalty bound OtherDomainPenalty. At the minimum,
	// an engine in another domain is preferred when it is emptier by more than a
	// tenth of its memory; at the maximum, practically never.
	minDomainPenalty = 0.1
	maxDomainPenalty = 0.8
	// minRemainingTokens is the expected remaining output below which a run is not moved
	// right after the notice: it is expected to end before the engine exits. The bound
	// decreases with the time that is left.
	minRemainingTokens = 48
)

// PlannedRun describes a run for the order of an evacuation.
type PlannedRun struct {
	Held      int  // tokens in memory
	Remaining int  // output tokens that are still expected
	Survives  bool // the run can continue without a move: it has a replica or is resumable
}

// EvacuationOrder returns the indexes of the runs to move, in order, at the given time
// after the notice. The notice may be too short for all, so the runs that hold the most
// memory come first. Runs that survive without a move come last. Runs that are expected to
// end before the engine exits are left out.
func EvacuationOrder(runs []PlannedRun, sinceNotice time.Duration) []int {
	timeLeft := max(0, assumedNoticePeriod-sinceNotice)
	minRemaining := minRemainingTokens * timeLeft.Seconds() / assumedNoticePeriod.Seconds()
	var order []int
	for i, r := range runs {
		if float64(r.Remaining) >= minRemaining {
			order = append(order, i)
		}
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := runs[order[i]], runs[order[j]]
		if a.Survives != b.Survives {
			return b.Survives
		}
		return a.Held > b.Held
	})
	return order
}

// StartDelay returns how long after the leaving notice of a source engine a host
// may begin to copy: until then the link belongs to the hosts that precede it in an
// order derived from the source's key. Loads are those at the source by host.
func StartDelay(engine *policy.Engine, source, host string, loads map[string]inflight.Load) time.Duration {
	own := xxhash.Sum64String(source + "\x00" + host)
	delay := time.Duration(0)
	for other, l := range loads {
		if xxhash.Sum64String(source+"\x00"+other) < own {
			delay += CopyTime(engine, l.Held, l.Runs)
		}
	}
	return delay
}

// CopyTime returns how long an engine's link is busy with moving a number of runs
// that hold so many tokens together.
func CopyTime(engine *policy.Engine, held, runs int) time.Duration {
	return engine.TransferTime(held) + time.Duration(runs)*switchTime
}

// OtherDomainPenalty returns what another failure domain adds to the score of a
// destination, as a share of its memory. Copies take twice as long between domains,
// which matters more the larger the part of the notice that copying all runs at the
// source takes.
func OtherDomainPenalty(engine *policy.Engine, held, runs int) float64 {
	noticeShare := CopyTime(engine, held, runs).Seconds() / assumedNoticePeriod.Seconds()
	return min(maxDomainPenalty, max(minDomainPenalty, noticeShare-minDomainPenalty))
}

// FinishesInTime reports whether moving a run that holds so many tokens, begun at
// the given time after the notice, is likely to finish before the engine exits.
func FinishesInTime(engine *policy.Engine, held int, sinceNotice time.Duration) bool {
	return sinceNotice+CopyTime(engine, held, 1) <= assumedNoticePeriod
}

// MayStop reports whether a run may still be stopped for its final copy at the given time after
// the notice: if the engine exits during that copy, no engine may hold the whole memory.
func MayStop(sinceNotice time.Duration) bool {
	return sinceNotice+maxFinalCopyTime <= shortestNoticePeriod
}
