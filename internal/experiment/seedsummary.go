package experiment

import (
	"encoding/json"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// Summary holds the median and the worst figures of a policy over several seeds.
type Summary struct {
	Policy   string  `json:"policy"`
	Scenario string  `json:"scenario"`
	Seeds    int     `json:"seeds"`
	Median   Figures `json:"median"`
	Worst    Figures `json:"worst"`
}

// Figures holds the measurements of a Result.
type Figures struct {
	Completed          float64 `json:"completed"`
	Rejected           float64 `json:"refused"`
	Lost               float64 `json:"lost"`
	DuplicatedTokens   float64 `json:"duplicated_tokens"`
	Preemptions        float64 `json:"preemptions"`
	PreemptionsPer1000 float64 `json:"preemptions_per_1000"`
	StallSeconds       float64 `json:"stall_seconds"`
	FirstTokenP50MS    float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS    float64 `json:"first_token_p95_ms"`
	FirstTokenP99MS    float64 `json:"first_token_p99_ms"`
	InterTokenP50MS    float64 `json:"inter_token_p50_ms"`
	InterTokenP95MS    float64 `json:"inter_token_p95_ms"`
	InterTokenP99MS    float64 `json:"inter_token_p99_ms"`
	LookupP99MS        float64 `json:"lookup_p99_ms"`
	TokensPerSecond    float64 `json:"tokens_per_second"`
	FairnessJain       float64 `json:"fairness_jain"`
	Interrupted        float64 `json:"interrupted"`
	BrokenOff          float64 `json:"broken_off"`
	TokensDecodedAgain float64 `json:"tokens_decoded_again"`
	TokensReadAgain    float64 `json:"tokens_read_again"`
	ArrivalsInPause    float64 `json:"arrivals_in_pause"`
	ArrivalsOverBudget float64 `json:"arrivals_over_budget"`
	PeakReturn         float64 `json:"peak_return"`
}

// summarize returns the median and the worst figures of each policy over all seeds.
func summarize(all []Result, specs []PolicySpec) []Summary {
	var list []Summary
	for _, spec := range specs {
		var results []Result
		for _, r := range all {
			if r.Policy == spec.Name {
				results = append(results, r)
			}
		}
		list = append(list, Summary{
			Policy: spec.Name, Scenario: results[0].Scenario, Seeds: len(results),
			Median: aggregate(results, median, median), Worst: aggregate(results, slices.Max[[]float64], slices.Min[[]float64]),
		})
	}
	return list
}

// aggregate reduces each figure over the seeds, with low if less is better and with high
// if more is better.
func aggregate(results []Result, low, high func([]float64) float64) Figures {
	figure := func(reduce func([]float64) float64, get func(*Result) float64) float64 {
		values := make([]float64, len(results))
		for i := range results {
			values[i] = get(&results[i])
		}
		return reduce(values)
	}
	return Figures{
		Completed:          figure(high, func(r *Result) float64 { return float64(r.Completed) }),
		Rejected:           figure(low, func(r *Result) float64 { return float64(r.Rejected) }),
		Lost:               figure(low, func(r *Result) float64 { return float64(r.Lost) }),
		DuplicatedTokens:   figure(low, func(r *Result) float64 { return float64(r.DuplicatedTokens) }),
		Preemptions:        figure(low, func(r *Result) float64 { return float64(r.Preemptions) }),
		PreemptionsPer1000: figure(low, func(r *Result) float64 { return r.PreemptionsPer1000 }),
		StallSeconds:       figure(low, func(r *Result) float64 { return r.StallSeconds }),
		FirstTokenP50MS:    figure(low, func(r *Result) float64 { return r.FirstTokenP50MS }),
		FirstTokenP99MS:    figure(low, func(r *Result) float64 { return r.FirstTokenP99MS }),
		Interrupted:        figure(low, func(r *Result) float64 { return float64(r.Interrupted) }),
		BrokenOff:          figure(low, func(r *Result) float64 { return float64(r.BrokenOff) }),
		TokensDecodedAgain: figure(low, func(r *Result) float64 { return float64(r.TokensDecodedAgain) }),
		TokensReadAgain:    figure(low, func(r *Result) float64 { return float64(r.TokensReadAgain) }),
		ArrivalsInPause:    figure(low, func(r *Result) float64 { return float64(r.ArrivalsInPause) }),
		ArrivalsOverBudget: figure(low, func(r *Result) float64 { return float64(r.ArrivalsOverBudget) }),
		PeakReturn:         figure(low, func(r *Result) float64 { return float64(r.PeakReturn) }),
		FirstTokenP95MS:    figure(low, func(r *Result) float64 { return r.FirstTokenP95MS }),
		InterTokenP50MS:    figure(low, func(r *Result) float64 { return r.InterTokenP50MS }),
		InterTokenP95MS:    figure(low, func(r *Result) float64 { return r.InterTokenP95MS }),
		InterTokenP99MS:    figure(low, func(r *Result) float64 { return r.InterTokenP99MS }),
		LookupP99MS:        figure(low, func(r *Result) float64 { return r.LookupP99MS }),
		TokensPerSecond:    figure(high, func(r *Result) float64 { return r.TokensPerSecond }),
		FairnessJain:       figure(high, func(r *Result) float64 { return r.FairnessJain }),
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
