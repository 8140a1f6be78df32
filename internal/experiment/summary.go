package experiment

import "math"

// result sums the run up.
func (r *runner) result(policy string) Result {
	m := r.metrics
	out := Result{
		Policy: policy, Scenario: r.scenario.Name, Seed: r.seed,
		DuplicatedTokens: m.duplicates, Preemptions: m.preemptions,
		StallSeconds:    round(m.stall.Seconds()),
		FirstTokenP95MS: percentileMS(m.firstToken, 95),
		InterTokenP50MS: percentileMS(m.gaps, 50),
		InterTokenP95MS: percentileMS(m.gaps, 95),
		InterTokenP99MS: percentileMS(m.gaps, 99),
		LookupP99MS:     percentileMS(m.lookups, 99),
		TokensPerSecond: round(m.inWindow / r.scenario.Seconds),
		FairnessJain:    round(jain(m.shares(r.scenario))),
		interrupted:     m.interrupted,
	}
	for _, c := range r.all {
		out.Offered++
		switch c.state {
		case callCompleted:
			out.Completed++
		case callRefused:
			out.Rejected++
		default:
			out.Lost++
		}
	}
	out.PreemptionsPer1000 = round(1000 * float64(out.Preemptions) / math.Max(1, float64(out.Completed)))
	return out
}

// round keeps four decimals, so that figures read and compare alike.
func round(x float64) float64 { return math.Round(x*1e4) / 1e4 }
