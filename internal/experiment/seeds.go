package experiment

import (
	"encoding/json"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// Summary is a policy's figures over several seeds.
type Summary struct {
	Policy   string  `json:"policy"`
	Scenario string  `json:"scenario"`
	Seeds    int     `json:"seeds"`
	Median   Figures `json:"median"`
	Worst    Figures `json:"worst"`
}

// Figures are the measured part of a Result.
type Figures struct {
	Completed          float64 `json:"completed"`
	Rejected           float64 `json:"refused"`
	Lost               float64 `json:"lost"`
	DuplicatedTokens   float64 `json:"duplicated_tokens"`
	Preemptions        float64 `json:"preemptions"`
	PreemptionsPer1000 float64 `json:"preemptions_per_1000"`
	StallSeconds       float64 `json:"stall_seconds"`
	FirstTokenP95MS    float64 `json:"first_token_p95_ms"`
	InterTokenP50MS    float64 `json:"inter_token_p50_ms"`
	InterTokenP95MS    float64 `json:"inter_token_p95_ms"`
	InterTokenP99MS    float64 `json:"inter_token_p99_ms"`
	LookupP99MS        float64 `json:"lookup_p99_ms"`
	TokensPerSecond    float64 `json:"tokens_per_second"`
	FairnessJain       float64 `json:"fairness_jain"`
}

func summarize(all []Result, specs []PolicySpec) []Summary {
	var list []Summary
	for _, spec := range specs {
		var own []Result
		for _, r := range all {
			if r.Policy == spec.Name {
				own = append(own, r)
			}
		}
		list = append(list, Summary{
			Policy: spec.Name, Scenario: own[0].Scenario, Seeds: len(own),
			Median: figures(own, median, median), Worst: figures(own, slices.Max[[]float64], slices.Min[[]float64]),
		})
	}
	return list
}

// figures reduces each figure over the seeds: by low where less is better, and
// by high where more is.
func figures(own []Result, low, high func([]float64) float64) Figures {
	of := func(reduce func([]float64) float64, get func(*Result) float64) float64 {
		values := make([]float64, len(own))
		for i := range own {
			values[i] = get(&own[i])
		}
		return reduce(values)
	}
	return Figures{
		Completed:          of(high, func(r *Result) float64 { return float64(r.Completed) }),
		Rejected:           of(low, func(r *Result) float64 { return float64(r.Rejected) }),
		Lost:               of(low, func(r *Result) float64 { return float64(r.Lost) }),
		DuplicatedTokens:   of(low, func(r *Result) float64 { return float64(r.DuplicatedTokens) }),
		Preemptions:        of(low, func(r *Result) float64 { return float64(r.Preemptions) }),
		PreemptionsPer1000: of(low, func(r *Result) float64 { return r.PreemptionsPer1000 }),
		StallSeconds:       of(low, func(r *Result) float64 { return r.StallSeconds }),
		FirstTokenP95MS:    of(low, func(r *Result) float64 { return r.FirstTokenP95MS }),
		InterTokenP50MS:    of(low, func(r *Result) float64 { return r.InterTokenP50MS }),
		InterTokenP95MS:    of(low, func(r *Result) float64 { return r.InterTokenP95MS }),
		InterTokenP99MS:    of(low, func(r *Result) float64 { return r.InterTokenP99MS }),
		LookupP99MS:        of(low, func(r *Result) float64 { return r.LookupP99MS }),
		TokensPerSecond:    of(high, func(r *Result) float64 { return r.TokensPerSecond }),
		FairnessJain:       of(high, func(r *Result) float64 { return r.FairnessJain }),
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

func printSummary(w io.Writer, list []Summary) error {
	encoder := json.NewEncoder(w)
	for _, s := range list {
		if err := encoder.Encode(s); err != nil {
			return eris.Wrap(err, "print a summary; check the output")
		}
	}
	return nil
}
