package load

import (
	"corianderhitch/internal/experiment"
	"corianderhitch/internal/report"
)

// drawRestarts draws the figures of a scenario that compares what happens to streams whose
// engine is lost.
func drawRestarts(dir string, results []experiment.Result) error {
	series := func(label string, metric func(*experiment.Result) float64) report.Series {
		return policySeries(results, label, metric)
	}
	return drawBars(dir, results, []barFigure{
		{"broken_off", report.Axes{Title: "Streams that broke off", Y: "streams"}, []report.Series{
			series("", func(r *experiment.Result) float64 { return float64(r.BrokenOff) }),
		}},
		{"tokens_again", report.Axes{Title: "Tokens processed again", Y: "tokens"}, []report.Series{
			series("decoded", func(r *experiment.Result) float64 { return float64(r.TokensDecodedAgain) }),
			series("read", func(r *experiment.Result) float64 { return float64(r.TokensReadAgain) }),
		}},
		{"stall", report.Axes{Title: "Stall time of all callers", Y: "s"}, []report.Series{
			series("", func(r *experiment.Result) float64 { return r.StallSeconds }),
		}},
	})
}

// comparesLostStreams reports whether callers repeated streams, which only some scenarios
// have.
func comparesLostStreams(results []experiment.Result) bool {
	for i := range results {
		if results[i].TokensDecodedAgain > 0 {
			return true
		}
	}
	return false
}
