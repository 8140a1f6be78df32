package experiment

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// CriterionResult reports whether an acceptance criterion is met for one seed.
type CriterionResult struct {
	Seed      uint64
	Criterion string
	Met       bool
	Detail    string
}

// Bounds of the acceptance criteria.
const (
	maxCrowdedShare      = 0.1  // of the preemptions and stall of the best baseline
	maxCrowdedTailShare  = 0.5  // of its inter-token p99
	minCrowdedThroughput = 0.98 // of the highest tokens per second
	minEqualThroughput   = 0.98 // of the product policy's tokens per second, for a comparable baseline
	maxSurgeLookupFactor = 1.2  // of the lookup p99 without the surge
	minJainIndex         = 0.95
)

// CheckCriteria checks the product's policy against the acceptance criteria of the
// scenario, separately for each seed. Every scenario requires that no request is lost and
// no token duplicated; some have further criteria.
func CheckCriteria(s *Scenario, all []Result) []CriterionResult {
	var criteria []CriterionResult
	for i := range all {
		if all[i].Policy != ProductPolicy {
			continue
		}
		product := &all[i]
		criteria = append(criteria, checkAnswers(product)...)
		switch s.Name {
		case "steady":
			criteria = append(criteria, checkSteady(product)...)
		case "crowded":
			criteria = append(criteria, checkCrowded(product, withSeed(all, product.Seed))...)
		case "surge":
			criteria = append(criteria, checkSurge(product)...)
		case "churn":
			criteria = append(criteria, checkChurn(s, product)...)
		case "silence":
			criteria = append(criteria, checkSilence(s, product)...)
		case "pause":
			criteria = append(criteria, checkPause(product, withSeed(all, product.Seed))...)
		case "restart":
			criteria = append(criteria, checkRestart(product, withSeed(all, product.Seed))...)
		}
	}
	return criteria
}

func withSeed(all []Result, seed uint64) []Result {
	var matching []Result
	for _, r := range all {
		if r.Seed == seed {
			matching = append(matching, r)
		}
	}
	return matching
}

func checkAnswers(r *Result) []CriterionResult {
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

// checkCrowded compares the product's policy with the results of all policies for the
// same seed.
func checkCrowded(product *Result, results []Result) []CriterionResult {
	highest := 0.0
	for _, r := range results {
		highest = max(highest, r.TokensPerSecond)
	}
	criteria := []CriterionResult{atLeast(product, "tokens/s against the highest of all", product.TokensPerSecond, minCrowdedThroughput*highest)}
	best, found := bestBaseline(product, results)
	if !found {
		return append(criteria, CriterionResult{Seed: product.Seed, Criterion: "a baseline that completes as much", Detail: "none"})
	}
	suffix := " against " + best.Policy
	return append(criteria,
		atMost(product, "preemptions"+suffix, float64(product.Preemptions), maxCrowdedShare*float64(best.Preemptions)),
		atMost(product, "stall seconds"+suffix, product.StallSeconds, maxCrowdedShare*best.StallSeconds),
		atMost(product, "inter-token p99 in ms"+suffix, product.InterTokenP99MS, maxCrowdedTailShare*best.InterTokenP99MS),
	)
}

// bestBaseline returns the baseline with the least stall among those with comparable
// throughput: at least minEqualThroughput of the product policy's tokens per second. The
// number of completed requests would not distinguish them, since every policy that rejects
// nothing completes all requests eventually.
func bestBaseline(product *Result, results []Result) (Result, bool) {
	var best Result
	found := false
	for _, spec := range Policies() {
		for _, r := range results {
			if r.Policy != spec.Name || !spec.Baseline || r.TokensPerSecond < minEqualThroughput*product.TokensPerSecond {
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
		atMost(r, "small accounts' lookup p99 in ms against that without the surge", r.LookupP99MS, maxSurgeLookupFactor*r.lookupWithoutSurgeMS),
		atLeast(r, "Jain index over weighted shares", r.FairnessJain, minJainIndex),
	}
}

func checkChurn(s *Scenario, r *Result) []CriterionResult {
	bound := float64(r.Interrupted) * s.DetectionMS / 1000
	return []CriterionResult{atMost(r, "stall seconds against the detection bound of each interrupted generation", r.StallSeconds, bound)}
}

func checkSilence(s *Scenario, r *Result) []CriterionResult {
	longest := 0.0
	for _, f := range s.Faults {
		longest = max(longest, f.Seconds)
	}
	return []CriterionResult{
		atMost(r, "answers broken off", float64(r.BrokenOff), 0),
		atMost(r, "stall seconds against the longest silence for each generation in one", r.StallSeconds, longest*float64(r.Interrupted)),
	}
}

// checkPause compares the product's policy with the same policy when gateways ignore pauses.
func checkPause(product *Result, results []Result) []CriterionResult {
	criteria := []CriterionResult{
		atMost(product, "requests beyond those that may reach a target in a pause", float64(product.ArrivalsOverBudget), 0),
		atMost(product, "first token p95 in ms", product.FirstTokenP95MS, firstTokenBoundMS),
	}
	for i := range results {
		if other := &results[i]; other.Policy == ProductPolicy+ignoringPausesSuffix {
			criteria = append(criteria, atLeast(product, "completed requests against "+other.Policy, float64(product.Completed), float64(other.Completed)))
		}
	}
	return criteria
}

// checkRestart compares the product's policy with the same policy when lost streams are
// repeated by their callers or broken off.
func checkRestart(product *Result, results []Result) []CriterionResult {
	criteria := []CriterionResult{atMost(product, "tokens decoded again", float64(product.TokensDecodedAgain), 0)}
	for i := range results {
		switch other := &results[i]; other.Policy {
		case ProductPolicy + repeatLostSuffix:
			criteria = append(criteria, atMost(product, "stall seconds against "+other.Policy, product.StallSeconds, other.StallSeconds))
		case ProductPolicy + breakOffLostSuffix:
			criteria = append(criteria, atMost(product, "streams broken off against "+other.Policy, float64(product.BrokenOff), float64(other.BrokenOff)))
		}
	}
	return criteria
}

func atMost(r *Result, criterion string, value, bound float64) CriterionResult {
	return CriterionResult{Seed: r.Seed, Criterion: criterion, Met: value <= bound, Detail: fmt.Sprintf("%.4g, bound at most %.4g", value, bound)}
}

func atLeast(r *Result, criterion string, value, bound float64) CriterionResult {
	return CriterionResult{Seed: r.Seed, Criterion: criterion, Met: value >= bound, Detail: fmt.Sprintf("%.4g, bound at least %.4g", value, bound)}
}

func printCriteria(w io.Writer, criteria []CriterionResult) error {
	for _, c := range criteria {
		outcome := "not met"
		if c.Met {
			outcome = "met"
		}
		if _, err := fmt.Fprintf(w, "# %s: seed %d: %s: %s\n", outcome, c.Seed, c.Criterion, c.Detail); err != nil {
			return eris.Wrap(err, "print a criterion; check the output")
		}
	}
	return nil
}
