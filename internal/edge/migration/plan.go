// Package migration moves runs off engines that leave. The memory of a run is
// copied while it runs; then it is stopped, what is new is copied as well, and
// the stream goes on at the destination.
//
// An engine's link carries one copy at a time, so that a final copy behind
// another run's first one stalls its stream, and a copy that the engine does not
// live to finish occupies memory at the destination for seconds. Runs therefore
// move one after the other: the hosts that have runs at an engine take turns
// which each works out alone, from the loads that they tell each other.
package migration

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
)

const (
	// assumedNotice is how long an engine serves after the notice if it does not
	// say: reclaimed engines get about two seconds, the shortest seen 1.5 s.
	assumedNotice = 1800 * time.Millisecond
	// switchTime is what a run takes of the link's turn beside its first copy: the
	// final copy of a few dozen tokens and two calls.
	switchTime = 30 * time.Millisecond
	// leastFar and mostFar bound Far: an engine in another domain is preferred when
	// it is emptier by more than a tenth, or never.
	leastFar = 0.1
	mostFar  = 0.8
	// leastRemaining is the output that must be expected for a move to be worth
	// its transfer, in tokens: less is made before the engine ends.
	leastRemaining = 48
)

// Sequence is a run as the plan sees it.
type PlannedRun struct {
	Held       int  // tokens in memory
	Remaining  int  // output tokens that are expected to come
	Replicated bool // a copy stands by: the run survives the engine
}

// Order returns the indexes of the runs to move, those with the most work sunk
// first: the notice may be too short for all. Those that have a copy come last,
// since they go on even without a move.
func EvacuationOrder(sequences []PlannedRun) []int {
	var order []int
	for i, s := range sequences {
		if s.Remaining >= leastRemaining {
			order = append(order, i)
		}
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := sequences[order[i]], sequences[order[j]]
		if a.Replicated != b.Replicated {
			return b.Replicated
		}
		return a.Held > b.Held
	})
	return order
}

// Turn returns how long after the notice a host may begin to copy: the others
// with runs at the source that come before it in the order of the source need
// the link until then.
func StartDelay(engine *policy.Engine, source, host string, others map[string]inflight.Load) time.Duration {
	own := xxhash.Sum64String(source + "\x00" + host)
	wait := time.Duration(0)
	for other, l := range others {
		if xxhash.Sum64String(source+"\x00"+other) < own {
			wait += CopyTime(engine, l.Held, l.Runs)
		}
	}
	return wait
}

// CopyTime returns how long the link is busy with runs that hold tokens.
func CopyTime(engine *policy.Engine, held, runs int) time.Duration {
	return engine.TransferTime(held) + time.Duration(runs)*switchTime
}

// Far returns what another failure domain counts against a destination, as a
// share of its memory: copies take twice as long between domains, which matters
// the more, the more of the notice the copies of all runs at the source need.
func OtherDomainPenalty(engine *policy.Engine, held, runs int) float64 {
	need := CopyTime(engine, held, runs).Seconds() / assumedNotice.Seconds()
	return min(mostFar, max(leastFar, need-leastFar))
}

// Fits tells whether a copy that begins a while after the notice is likely to be
// done before the engine's end.
func FinishesInTime(engine *policy.Engine, held int, sinceNotice time.Duration) bool {
	return sinceNotice+CopyTime(engine, held, 1) <= assumedNotice
}
