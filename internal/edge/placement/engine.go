package placement

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
)

const (
	// fullShare is the part of an engine's memory that runs may be expected to
	// fill at their ends, which do not coincide. Preemption reads a whole prompt
	// again, so that some is left for runs that grow longer than expected.
	fullShare = 0.95
	// ownPart is how much of a run's own need may go beyond it: small runs would
	// otherwise take all the room before a large one finds enough.
	ownPart = 0.35
	// briefShare is the same for runs that end soon: little can grow unexpectedly
	// until then.
	briefShare = 0.97
	// briefTokens is the output up to which a run counts as brief: half a second at
	// the usual pace of an engine.
	briefTokens = 48
	// moveAhead is how many tokens each run of a destination may grow by while a
	// moved run settles: the copy and the first events take about half a second.
	moveAhead = 48
	// bandPerSharedToken is how much worse than the best engine one may be, as a
	// share, for each prompt token that it has probably cached: reading 350 tokens
	// again costs about as much as a fifth more load.
	bandPerSharedToken = 0.0006
	maxBand            = 0.22
	// leastBand is below what cached tokens are not worth another engine.
	leastBand = 0.06
	// moveBand is the same for moves, whose sources are spread over destinations.
	moveBand = 0.12
	// readRate is how many prompt tokens an engine reads in a second beside its
	// running batch: chunks of 112 tokens in steps of about 16 ms.
	readRate = 7000.0
	// fullAhead is the part of the objective that the prompts ahead of a run may
	// take. It does not depend on the run's own prompt either.
	fullAhead = 0.5
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
type Requirements struct {
	Tokens    int           // expected memory at the end of the run
	Output    int           // output tokens that are expected to come
	Unread    int           // prompt tokens to read before the first event
	Objective time.Duration // latency objective of the first event; 0 for none
	Affinity  string        // what runs that should meet have in common, "" if nothing
	Shared    int           // prompt tokens that the engine of that affinity has cached
	Domain    string        // of the sender, or of the source of a move
	Move      bool
	// Limit is the part of the memory that may be expected in use with a copy that
	// only stands by, which must not cost new runs their room; 0 for runs.
	Limit float64
	// Far is what another failure domain counts for a move, as a share of memory.
	Far float64
	// Spread is among how many of the best engines one is drawn: about as many
	// runs are placed by other hosts before this one hears of them, and all would
	// go to the one engine that looks best. 0 and 1 mean the best.
	Spread int
	Draw   float64 // in [0, 1), decides among them
}

// ReadTime returns how long an engine reads prompt tokens beside its batch.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Second))
}

func (n *Requirements) band() float64 {
	if n.Move {
		return moveBand
	}
	return math.Min(maxBand, bandPerSharedToken*float64(n.Shared))
}

// Engine returns the index of the best engine for a run, or -1 if none has room.
// An engine is judged by its expected memory and by the prompts that it must read
// before the run's. Among those close to the best it takes the one that the run's
// affinity hashes to, which all hosts choose alike without talking.
//
// Engines that fail are left out unless all others lack room: a fault on this
// side of the links must not empty the pool.
func ChooseEngine(candidates []Candidate, engine *policy.Engine, need Requirements, tried map[string]bool) int {
	if need.Limit > 0 && fullness(candidates, engine) > need.Limit {
		return -1 // the room of the emptiest engine is that of the next runs
	}
	if i := choose(candidates, engine, need, tried, MaxHealthyCost); i >= 0 {
		return i
	}
	return choose(candidates, engine, need, tried, math.Inf(1))
}

// fullness is the part of the memory of all engines that is expected to be in use.
func fullness(candidates []Candidate, engine *policy.Engine) float64 {
	tokens := 0
	for _, c := range candidates {
		tokens += c.Load.Tokens
	}
	return float64(tokens) / float64(max(1, len(candidates)*engine.MemoryTokens))
}

func choose(candidates []Candidate, engine *policy.Engine, need Requirements, tried map[string]bool, maxCost float64) int {
	shares := make([]float64, len(candidates))
	best := math.Inf(1)
	for i, c := range candidates {
		shares[i] = engineShare(c, engine, need)
		if tried[c.Target.Key()] || c.FailureCost > maxCost {
			shares[i] = math.Inf(1)
		}
		best = math.Min(best, shares[i])
	}
	if math.IsInf(best, 1) {
		return -1
	}
	if i := byAffinity(candidates, shares, best, need); i >= 0 {
		return i
	}
	return oneOfBest(shares, need)
}

// byAffinity returns the engine close to the best that the run's affinity hashes
// to, or -1 if the run has none.
func byAffinity(candidates []Candidate, shares []float64, best float64, need Requirements) int {
	chosen, chosenWeight := -1, uint64(0)
	if need.Affinity == "" || need.band() < leastBand {
		return chosen
	}
	for i, c := range candidates {
		if shares[i] > best+need.band() {
			continue
		}
		if w := xxhash.Sum64String(need.Affinity + "\x00" + c.Target.Key()); chosen < 0 || w > chosenWeight {
			chosen, chosenWeight = i, w
		}
	}
	return chosen
}

// oneOfBest draws one of the best engines that have room.
func oneOfBest(shares []float64, need Requirements) int {
	order := make([]int, 0, len(shares))
	for i, share := range shares {
		if !math.IsInf(share, 1) {
			order = append(order, i)
		}
	}
	sort.SliceStable(order, func(a, b int) bool { return shares[order[a]] < shares[order[b]] })
	among := min(max(1, need.Spread), len(order))
	return order[min(among-1, int(need.Draw*float64(among)))]
}

// peak is the most memory that an engine is expected to use while the run is
// there. All runs of a batch make a token a step, so that the others grow by no
// more than the run's own output: brief runs find room between long ones that
// have yet to grow into theirs.
func peak(l inflight.Load, need Requirements) int {
	return min(l.Tokens, l.Held+l.Runs*need.Output) + need.Tokens
}

// hasMemory tells whether an engine has room for the run. A moved run needs room
// for what it holds now: without a destination it is lost with all its work, while
// an engine that fills up later preempts the newest run, which only pauses.
func hasMemory(l inflight.Load, engine *policy.Engine, need Requirements) bool {
	capacity := float64(max(1, engine.MemoryTokens))
	switch {
	case l.Runs >= engine.Slots:
		return false
	case l.Runs == 0:
		return true
	case need.Limit > 0:
		return float64(peak(l, need)) <= need.Limit*capacity
	case need.Move:
		held := need.Tokens - need.Output
		return float64(l.Held+held+(l.Runs+1)*moveAhead) <= capacity
	case need.Output <= briefTokens:
		return float64(peak(l, need)) <= briefShare*capacity
	default:
		return float64(peak(l, need)) <= fullShare*capacity+ownPart*float64(need.Tokens)
	}
}

// readsInTime tells whether the prompts ahead of the run leave it enough of its
// objective.
func readsInTime(l inflight.Load, need Requirements) bool {
	return need.Objective <= 0 || PrefillTime(l.Unread).Seconds() <= fullAhead*need.Objective.Seconds()
}

// engineShare is the part of the engine's memory that is expected to be in use
// with the run, plus penalties; +Inf if the run does not fit. Lower is better.
func engineShare(c Candidate, engine *policy.Engine, need Requirements) float64 {
	capacity := float64(max(1, engine.MemoryTokens))
	share := float64(peak(c.Load, need)) / capacity
	if !hasMemory(c.Load, engine, need) || !readsInTime(c.Load, need) {
		return math.Inf(1)
	}
	if need.Objective > 0 {
		share += waitShare * PrefillTime(c.Load.Unread+need.Unread).Seconds() / need.Objective.Seconds()
	}
	share += failingShare * (c.FailureCost - 1)
	if c.Target.WarmupLeft > 0 {
		share += coldShare
	}
	if c.Target.Domain != need.Domain {
		if need.Move {
			return share + need.Far
		}
		return share + otherDomain
	}
	return share
}
