package placing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/edge/policy"
)

const (
	// fullShare is the part of an engine's memory that new runs may be expected
	// to fill. Preemption reads a whole prompt again, so that some is left for
	// runs that grow longer than expected.
	fullShare = 0.92
	// bandPerSharedToken is how much worse than the best engine one may be, as a
	// share, for each prompt token that it has probably cached: reading 350 tokens
	// again costs about as much as a fifth more load.
	bandPerSharedToken = 0.0006
	maxBand            = 0.22
	// moveBand is the same for moves, whose sources are spread over destinations.
	moveBand = 0.12
	// readRate is how many prompt tokens an engine reads in a second beside its
	// running batch: chunks of 112 tokens in steps of about 16 ms.
	readRate = 7000.0
	// waitShare is what a wait for the first event as long as the objective counts,
	// as a share.
	waitShare = 0.6
	// otherDomain is what another failure domain counts, as a share of memory.
	otherDomain = 0.03
	// coldShare is what an engine that has just started counts more, as a share.
	coldShare = 0.2
	// failingShare is what each unit of cost above 1 counts, as a share.
	failingShare = 0.3
)

// Need is what a run needs of an engine.
type Need struct {
	Tokens    int           // expected memory at the end of the run
	Unread    int           // prompt tokens to read before the first event
	Objective time.Duration // latency objective of the first event; 0 for none
	Affinity  string        // what runs that should meet have in common, "" if nothing
	Shared    int           // prompt tokens that the engine of that affinity has cached
	Domain    string        // of the sender, or of the source of a move
	Move      bool
	// Far is what another failure domain counts for a move, as a share of memory.
	Far float64
}

func (n *Need) band() float64 {
	if n.Move {
		return moveBand
	}
	return math.Min(maxBand, bandPerSharedToken*float64(n.Shared))
}

// Engine returns the index of the best engine for a run, or -1 if none has room.
// An engine is judged by its expected memory and by the prompts that it must read
// before the run's. Among those close to the best it takes the one that the run's
// affinity hashes to, which all hosts choose alike without talking.
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
		if need.Affinity == "" && shares[i] == best {
			return i
		}
		if need.Affinity == "" || shares[i] > best+need.band() {
			continue
		}
		if w := xxhash.Sum64String(need.Affinity + "\x00" + c.Target.Key()); chosen < 0 || w > chosenWeight {
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
	if need.Objective > 0 {
		wait := float64(c.Load.Unread+need.Unread) / readRate
		share += waitShare * wait / need.Objective.Seconds()
	}
	share += failingShare * (c.Cost - 1)
	if c.Target.Cold > 0 {
		share += coldShare
	}
	if c.Target.Zone != need.Domain {
		if need.Move {
			return share + need.Far
		}
		return share + otherDomain
	}
	return share
}
