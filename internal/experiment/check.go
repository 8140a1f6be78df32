package experiment

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// Verdict tells whether one target of the issue is met on one seed.
type CriterionResult struct {
	Seed      uint64
	Criterion string
	Met       bool
	Detail    string
}

// The bounds of the issue.
const (
	crowdedShare      = 0.1  // of the preemptions and stall of the best baseline
	crowdedTailShare  = 0.5  // of its inter-token p99
	crowdedThroughput = 0.98 // of the highest tokens per second
	sameWork          = 0.98 // of our tokens per second
	surgeLookupFactor = 1.2
	leastJain         = 0.95
)

// Check holds the product's policy against the targets of the scenario, each
// seed by itself. Scenarios without targets of their own get the one that holds
// everywhere: nothing lost and nothing duplicated.
func CheckCriteria(s *Scenario, all []Result) []CriterionResult {
	var verdicts []CriterionResult
	for i := range all {
		if all[i].Policy != ProductPolicy {
			continue
		}
		ours := &all[i]
		verdicts = append(verdicts, always(ours)...)
		switch s.Name {
		case "steady":
			verdicts = append(verdicts, checkSteady(ours)...)
		case "crowded":
			verdicts = append(verdicts, checkCrowded(ours, sameSeed(all, ours.Seed))...)
		case "surge":
			verdicts = append(verdicts, checkSurge(ours)...)
		case "churn":
			verdicts = append(verdicts, checkChurn(s, ours)...)
		}
	}
	return verdicts
}

func sameSeed(all []Result, seed uint64) []Result {
	var same []Result
	for _, r := range all {
		if r.Seed == seed {
			same = append(same, r)
		}
	}
	return same
}

func always(r *Result) []CriterionResult {
	return []CriterionResult{
		atMost(r, "lost", float64(r.Lost), 0),
		atMost(r, "duplicated or spliced tokens", float64(r.DuplicatedTokens), 0),
	}
}

func checkSteady(r *Result) []CriterionResult {
	return []CriterionResult{
		atMost(r, "first token p95 in ms", r.FirstTokenP95MS, firstTokenBoundMS),
		atMost(r, "inter-token p95 in ms", r.InterTokenP95MS, interTokenBoundMS),
		atMost(r, "preemptions", float64(r.Preemptions), 0),
	}
}

func checkCrowded(ours *Result, same []Result) []CriterionResult {
	highest := 0.0
	for _, r := range same {
		highest = max(highest, r.TokensPerSecond)
	}
	verdicts := []CriterionResult{atLeast(ours, "tokens/s against the highest of all", ours.TokensPerSecond, crowdedThroughput*highest)}
	best, found := bestBaseline(ours, same)
	if !found {
		return append(verdicts, CriterionResult{Seed: ours.Seed, Criterion: "a baseline that completes as much", Detail: "none"})
	}
	of := " against " + best.Policy
	return append(verdicts,
		atMost(ours, "preemptions"+of, float64(ours.Preemptions), crowdedShare*float64(best.Preemptions)),
		atMost(ours, "stall seconds"+of, ours.StallSeconds, crowdedShare*best.StallSeconds),
		atMost(ours, "inter-token p99 in ms"+of, ours.InterTokenP99MS, crowdedTailShare*best.InterTokenP99MS),
	)
}

// bestBaseline returns the baseline with the least stall among those that
// complete as much in the same time: at least sameWork of our tokens per second.
// The count of completed requests does not tell, since every policy that
// refuses nothing completes all of them in the end, however late.
func bestBaseline(ours *Result, same []Result) (Result, bool) {
	var best Result
	found := false
	for _, spec := range Policies() {
		for _, r := range same {
			if r.Policy != spec.Name || !spec.Baseline || r.TokensPerSecond < sameWork*ours.TokensPerSecond {
				continue
			}
			if !found || r.StallSeconds < best.StallSeconds {
				best, found = r, true
			}
		}
	}
	return best, found
}

func checkSurge(r *Result) []CriterionResult {
	return []CriterionResult{
		atMost(r, "small accounts' lookup p99 in ms against that without the surge", r.LookupP99MS, surgeLookupFactor*r.calmLookupMS),
		atLeast(r, "Jain index over weighted shares", r.FairnessJain, leastJain),
	}
}

func checkChurn(s *Scenario, r *Result) []CriterionResult {
	bound := float64(r.interrupted) * s.DetectionMS / 1000
	return []CriterionResult{atMost(r, "stall seconds against the detection bound of each interrupted generation", r.StallSeconds, bound)}
}

func atMost(r *Result, target string, figure, bound float64) CriterionResult {
	return CriterionResult{Seed: r.Seed, Criterion: target, Met: figure <= bound, Detail: fmt.Sprintf("%.4g, bound at most %.4g", figure, bound)}
}

func atLeast(r *Result, target string, figure, bound float64) CriterionResult {
	return CriterionResult{Seed: r.Seed, Criterion: target, Met: figure >= bound, Detail: fmt.Sprintf("%.4g, bound at least %.4g", figure, bound)}
}

func printVerdicts(w io.Writer, verdicts []CriterionResult) error {
	for _, v := range verdicts {
		word := "not met"
		if v.Met {
			word = "met"
		}
		if _, err := fmt.Fprintf(w, "# %s: seed %d: %s: %s\n", word, v.Seed, v.Criterion, v.Detail); err != nil {
			return eris.Wrap(err, "print a verdict; check the output")
		}
	}
	return nil
}
