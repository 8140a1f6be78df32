package placement

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/region"
)

const (
	// maxMemoryShare is the share of an engine's memory that the peak of its runs
	// may be expected to fill. Preemption prefills a whole prompt again, so some
	// memory is left for runs that grow longer than expected.
	maxMemoryShare = 0.95
	// overcommitShare is the share of a run's own tokens that may exceed
	// maxMemoryShare. Otherwise small runs would take all memory that becomes free
	// before it is enough for a large one.
	overcommitShare = 0.35
	// shortRunMemoryShare replaces maxMemoryShare for short runs, during which
	// other runs can grow little beyond what is expected.
	shortRunMemoryShare = 0.97
	// shortRunTokens is the output up to which a run counts as short: about half a
	// second at an engine's usual pace.
	shortRunTokens = 48
	// moveGrowthTokens is how much each run of a destination may grow while a moved
	// run settles: the copy and the first events take about half a second.
	moveGrowthTokens = 48
	// tolerancePerSharedToken is how much worse a score than the best one is
	// tolerated for each prompt token that the engine has probably cached:
	// prefilling 350 tokens costs about as much as a fifth more load.
	tolerancePerSharedToken = 0.0006
	maxTolerance            = 0.22
	// minTolerance is the tolerance below which the cached tokens are not worth
	// choosing another engine.
	minTolerance = 0.06
	// moveTolerance is the tolerance of a move. It spreads the moves from different
	// sources over destinations.
	moveTolerance = 0.12
	// prefillTokensPerSecond is how fast an engine of typical speed prefills prompts
	// while it also decodes its batch: chunks of 112 tokens in steps of about 16 ms.
	prefillTokensPerSecond = 7000.0
	// maxPrefillWaitShare is the share of the latency objective that the prompts
	// ahead of a run may take. It ignores the run's own prompt, so that large
	// prompts do not starve.
	maxPrefillWaitShare = 0.5
	// waitPenalty is what a wait for the first event adds to a score if it is as long
	// as the latency objective.
	waitPenalty = 0.6
	// otherDomainPenalty is what another failure domain adds to the score for a new
	// run.
	otherDomainPenalty = 0.03
	// warmupPenalty is what an engine that is still warming up adds to its score.
	warmupPenalty = 0.2
	// failurePenalty is what each unit of failure cost above 1 adds to a score.
	failurePenalty = 0.3
)

// Requirements describes what a run needs from an engine.
type Requirements struct {
	Tokens    int           // expected memory at the end of the run, in tokens
	Output    int           // output tokens that are still expected
	Unread    int           // prompt tokens to prefill before the first event
	Objective time.Duration // latency objective of the first event; 0 for none
	// GapObjective is the longest acceptable time between two events; 0 for none.
	GapObjective time.Duration
	Affinity     string // runs with the same value prefer the same engine; "" for none
	Shared       int    // prompt tokens that the preferred engine has probably cached
	Domain       string // failure domain of the sender, or of the source of a move
	Move         bool   // the run moves from another engine
	// Limit is the share of an engine's memory that may be expected in use with a
	// replica, which must not take room from new runs; 0 for runs.
	Limit float64
	// Far is what another failure domain adds to the score of a move, as a share of
	// the engine's memory.
	Far float64
	// Spread is the number of best engines among which one is drawn: about as many
	// runs as other hosts place before this host learns of them. Without it, all
	// hosts would choose the one engine that looks best. 0 and 1 mean the best.
	Spread int
	Draw   float64 // random number in [0, 1) that selects among them
	// Regions are those in which the run may execute. Builds that don't know this field choose any.
	Regions region.Set
	// Reserve is the memory, in tokens, that must stay free for more urgent runs.
	Reserve int
	// MaxAhead bounds the time that the prompts ahead of the run may take; 0 if only Objective does.
	MaxAhead time.Duration
}

// PrefillTime returns how long an engine of typical speed takes to prefill prompt
// tokens while it also decodes its batch.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerSecond * float64(time.Second))
}

// affinityTolerance returns by how much the score of the engine that affinity
// prefers may exceed the best score.
func (r *Requirements) affinityTolerance() float64 {
	if r.Move {
		return moveTolerance
	}
	return math.Min(maxTolerance, tolerancePerSharedToken*float64(r.Shared))
}

// ChooseEngine returns the index of the best engine for a run, or -1 if none has
// room. Targets in tried are left out. An engine is scored by its expected memory
// use and by the prompts that it must prefill before the run's. Among engines that
// score close to the best, it chooses the one that the run's affinity hashes to,
// so that all hosts choose alike without coordination.
//
// Failing engines are left out unless all others lack room: a network fault near
// this host must not make all engines unusable.
func ChooseEngine(candidates []Candidate, engine *policy.Engine, need Requirements, tried map[string]bool) int {
	if need.Limit > 0 && memoryUse(candidates, engine) > need.Limit {
		return -1 // also if a single engine has room: it is left for new runs
	}
	if i := chooseUpToCost(candidates, engine, need, tried, MaxHealthyCost); i >= 0 {
		return i
	}
	return chooseUpToCost(candidates, engine, need, tried, math.Inf(1))
}

// memoryUse returns the share of the memory of all engines that is expected to be
// in use.
func memoryUse(candidates []Candidate, engine *policy.Engine) float64 {
	tokens := 0
	for _, c := range candidates {
		tokens += c.Load.Tokens
	}
	return float64(tokens) / float64(max(1, len(candidates)*engine.MemoryTokens))
}

// chooseUpToCost is ChooseEngine among engines whose failure cost is at most
// maxCost.
func chooseUpToCost(candidates []Candidate, engine *policy.Engine, need Requirements, tried map[string]bool, maxCost float64) int {
	scores := make([]float64, len(candidates))
	best := math.Inf(1)
	for i, c := range candidates {
		scores[i] = engineScore(c, engine, need)
		if c.FailureCost > maxCost || len(tried) > 0 && tried[c.Target.Key()] {
			scores[i] = math.Inf(1)
		}
		best = math.Min(best, scores[i])
	}
	if math.IsInf(best, 1) {
		return -1
	}
	if i := chooseByAffinity(candidates, scores, best, need); i >= 0 {
		return i
	}
	return drawAmongBest(scores, need)
}

// chooseByAffinity returns the engine within the tolerance of the best score that
// the run's affinity hashes to, or -1 if affinity does not matter for the run.
func chooseByAffinity(candidates []Candidate, scores []float64, best float64, need Requirements) int {
	chosen, chosenWeight := -1, uint64(0)
	if need.Affinity == "" || need.affinityTolerance() < minTolerance {
		return chosen
	}
	for i, c := range candidates {
		if scores[i] > best+need.affinityTolerance() {
			continue
		}
		if w := xxhash.Sum64String(need.Affinity + "\x00" + c.Target.Key()); chosen < 0 || w > chosenWeight {
			chosen, chosenWeight = i, w
		}
	}
	return chosen
}

// drawAmongBest draws one of the need.Spread best engines that have room.
func drawAmongBest(scores []float64, need Requirements) int {
	order := make([]int, 0, len(scores))
	for i, score := range scores {
		if !math.IsInf(score, 1) {
			order = append(order, i)
		}
	}
	sort.SliceStable(order, func(a, b int) bool { return scores[order[a]] < scores[order[b]] })
	among := min(max(1, need.Spread), len(order))
	return order[min(among-1, int(need.Draw*float64(among)))]
}

// peakTokens returns the most memory that an engine is expected to use while the
// run is there. Each run of a batch produces a token a step, so the others grow by
// no more than the run's own output: a short run fits among long ones that will
// reach their expected memory only after it has ended.
func peakTokens(l inflight.Load, need Requirements) int {
	return min(l.Tokens, l.Held+l.Runs*need.Output) + need.Tokens
}

// hasRoom reports whether an engine has a slot and memory for the run. A moved run
// needs room only for what it holds now: without a destination it is lost with all
// its work, while an engine that fills up later preempts the newest run, which only
// pauses that run.
func hasRoom(l inflight.Load, engine *policy.Engine, need Requirements) bool {
	capacity := float64(max(1, engine.MemoryTokens))
	switch {
	case l.Runs >= engine.Slots:
		return false
	case l.Runs == 0:
		return true
	case need.Limit > 0:
		return float64(peakTokens(l, need)) <= need.Limit*capacity
	case need.Move:
		held := need.Tokens - need.Output
		return float64(l.Held+held+(l.Runs+1)*moveGrowthTokens) <= capacity
	case need.Output <= shortRunTokens:
		return float64(peakTokens(l, need)+need.Reserve) <= shortRunMemoryShare*capacity
	case need.Reserve > 0: // what exceeds maxMemoryShare would use up the reserve
		return float64(peakTokens(l, need)+need.Reserve) <= maxMemoryShare*capacity
	default:
		return float64(peakTokens(l, need)) <= maxMemoryShare*capacity+overcommitShare*float64(need.Tokens)
	}
}

// prefillsInTime reports whether the prompts ahead of the run leave it enough of
// its latency objective.
func prefillsInTime(c *Candidate, need Requirements) bool {
	ahead := c.expectedPrefill(c.Load.Unread)
	if need.MaxAhead > 0 && ahead > need.MaxAhead {
		return false
	}
	return need.Objective <= 0 || ahead.Seconds() <= maxPrefillWaitShare*need.Objective.Seconds()
}

// engineScore returns the share of the engine's memory that is expected to be in
// use with the run, plus penalties; +Inf if the run does not fit. Lower is better.
func engineScore(c Candidate, engine *policy.Engine, need Requirements) float64 {
	capacity := float64(max(1, engine.MemoryTokens))
	score := float64(peakTokens(c.Load, need)) / capacity
	if !hasRoom(c.Load, engine, need) || !prefillsInTime(&c, need) {
		return math.Inf(1)
	}
	if need.Objective > 0 {
		score += waitPenalty * c.expectedPrefill(c.Load.Unread+need.Unread).Seconds() / need.Objective.Seconds()
	}
	score += slownessPenalty(&c, engine, need)
	score += failurePenalty * (c.FailureCost - 1)
	if c.Target.WarmupLeft > 0 {
		score += warmupPenalty
	}
	if c.Target.Domain != need.Domain {
		if need.Move {
			return score + need.Far
		}
		return score + otherDomainPenalty
	}
	return score
}
