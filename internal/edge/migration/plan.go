// Package migration moves runs off engines that leave. The memory of a run is
// copied while it runs; then it is stopped, what is new is copied as well, and
// the stream goes on at the destination.
package migration

import (
	"sort"
	"time"

	"corianderhitch/internal/edge/policy"
)

const (
	// assumedNotice is how long an engine serves after the notice if it does not
	// say: reclaimed engines get about two seconds, the shortest seen 1.5 s.
	assumedNotice = 1500 * time.Millisecond
	// finalMargin is left between the final copy and the engine's end: the copy of
	// a few dozen tokens, its answer and the new request.
	finalMargin = 350 * time.Millisecond
	// leastRemaining is the output that must be expected for a move to be worth
	// its transfer, in tokens: less is made before the engine ends.
	leastRemaining = 48
)

// Sequence is a run as the plan sees it.
type Sequence struct {
	Held      int // tokens in memory
	Remaining int // output tokens that are expected to come
}

// Order returns the indexes of the runs to move, those with the most work sunk
// first: the notice may be too short for all.
func Order(sequences []Sequence) []int {
	var order []int
	for i, s := range sequences {
		if s.Remaining >= leastRemaining {
			order = append(order, i)
		}
	}
	sort.SliceStable(order, func(i, j int) bool { return sequences[order[i]].Held > sequences[order[j]].Held })
	return order
}

// FinalAt returns how long after the notice runs may be stopped for their final
// copy. Copies share the engine's link in turn, so that a final copy behind
// another run's first one would stall its stream; it waits until all tokens held
// at the engine are likely to have been copied, but not into its end.
func FinalAt(engine *policy.Engine, held int, leavesIn time.Duration) time.Duration {
	if leavesIn <= 0 {
		leavesIn = assumedNotice
	}
	return max(0, min(engine.TransferTime(held), leavesIn-finalMargin))
}
