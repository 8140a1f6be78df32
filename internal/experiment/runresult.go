package experiment

import "math"

// result returns the figures of the run.
func (r *runner) result(policy string) Result {
	m := r.metrics
	out := Result{
		Policy: policy, Scenario: r.scenario.Name, Seed: r.seed,
		DuplicatedTokens: m.duplicatedTokens, Preemptions: m.preemptions,
		StallSeconds:    round(m.stall.Seconds()),
		FirstTokenP50MS: percentileMS(m.firstToken, 50),
		FirstTokenP95MS: percentileMS(m.firstToken, 95),
		FirstTokenP99MS: percentileMS(m.firstToken, 99),
		InterTokenP50MS: percentileMS(m.tokenGaps, 50),
		InterTokenP95MS: percentileMS(m.tokenGaps, 95),
		InterTokenP99MS: percentileMS(m.tokenGaps, 99),
		LookupP99MS:     percentileMS(m.lookupTimes, 99),
		TokensPerSecond: round(m.windowTokens / r.scenario.Seconds),
		FairnessJain:    round(jainIndex(m.accountShares(r.scenario))),
		ArrivalsInPause: m.pauses.arrivals(), ArrivalsOverBudget: m.pauses.overBudget(),
		PeakReturn: m.pauses.peakReturn(), ReturnCurve: m.pauses.returnCurve(),
		Interrupted: m.interrupted, TokensDecodedAgain: m.tokensDecodedAgain, TokensReadAgain: m.tokensReadAgain,
	}
	for _, c := range r.allCalls {
		out.Offered++
		switch c.state {
		case callCompleted:
			out.Completed++
		case callRejected:
			out.Rejected++
			if c.delivered > 0 {
				out.BrokenOff++
			}
		default:
			out.Lost++
		}
	}
	out.PreemptionsPer1000 = round(1000 * float64(out.Preemptions) / math.Max(1, float64(out.Completed)))
	return out
}

// round rounds to four decimals, which keeps printed figures short and comparable.
func round(x float64) float64 { return math.Round(x*1e4) / 1e4 }
