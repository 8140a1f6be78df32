package placing

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/edge/policy"
)

const (
	// fullShare is the part of an engine's memory that new runs may be expected
	// to fill. Preemption reads a whole prompt again, so that some is left for
	// runs that grow longer than expected.
	fullShare = 0.92
	// affinityBand is how much fuller than the emptiest engine one may be to be
	// chosen for the prefix that it has probably cached.
	affinityBand = 0.22
	// otherDomain is what another failure domain counts, as a share of memory.
	otherDomain = 0.03
	// moveOtherDomain is the same for moves, which take twice as long between
	// domains while the notice of a leaving engine is short.
	moveOtherDomain = 0.3
	// coldShare is what an engine that has just started counts more, as a share.
	coldShare = 0.2
	// failingShare is what each unit of cost above 1 counts, as a share.
	failingShare = 0.3
)

// Need is what a run needs of an engine.
type Need struct {
	Tokens int    // expected memory at the end of the run
	Prefix string // shared part of the prompt, "" if it does not matter
	Domain string // of the sender, or of the source of a move
	Move   bool
}

// Engine returns the index of the best engine for a run, or -1 if none has room.
// It takes the engine that is emptiest by expected memory; among those close to
// it, the one that the run's prefix hashes to, which all hosts choose alike
// without talking.
func Engine(candidates []Candidate, engine *policy.Engine, need Need, tried map[string]bool) int {
	shares := make([]float64, len(candidates))
	best := math.Inf(1)
	for i, c := range candidates {
		shares[i] = engineShare(c, engine, need)
		if tried[c.Target.Key()] {
			shares[i] = math.Inf(1)
		}
		best = math.Min(best, shares[i])
	}
	if math.IsInf(best, 1) {
		return -1
	}
	chosen, chosenWeight := -1, uint64(0)
	for i, c := range candidates {
		if need.Prefix == "" && shares[i] == best {
			return i
		}
		if need.Prefix == "" || shares[i] > best+affinityBand {
			continue
		}
		if w := xxhash.Sum64String(need.Prefix + "\x00" + c.Target.Key()); chosen < 0 || w > chosenWeight {
			chosen, chosenWeight = i, w
		}
	}
	return chosen
}

// engineShare is the part of the engine's memory that is expected to be in use
// with the run, plus penalties; +Inf if the run does not fit. Lower is better.
func engineShare(c Candidate, engine *policy.Engine, need Need) float64 {
	capacity := float64(max(1, engine.MemoryTokens))
	share := float64(c.Load.Tokens+need.Tokens) / capacity
	if c.Load.Runs >= engine.Slots || (share > fullShare && c.Load.Runs > 0) {
		return math.Inf(1)
	}
	if c.Cost > maxCost {
		return math.Inf(1)
	}
	share += failingShare * (c.Cost - 1)
	if c.Target.Cold > 0 {
		share += coldShare
	}
	if c.Target.Zone != need.Domain {
		if need.Move {
			return share + moveOtherDomain
		}
		return share + otherDomain
	}
	return share
}
