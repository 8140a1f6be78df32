package load

import (
	"path/filepath"

	"corianderhitch/internal/experiment"
	"corianderhitch/internal/report"
)

// drawPauses draws the figures of a scenario in which targets pause.
func drawPauses(dir string, results []experiment.Result) error {
	series := func(label string, metric func(*experiment.Result) float64) report.Series {
		return policySeries(results, label, metric)
	}
	err := drawBars(dir, results, []barFigure{
		{"served", report.Axes{Title: "Completed requests", Y: "% of all"}, []report.Series{
			series("", func(r *experiment.Result) float64 { return 100 * float64(r.Completed) / float64(r.Offered) }),
		}},
		{"arrivals", report.Axes{Title: "Requests that reached a target in a pause", Y: "requests"}, []report.Series{
			series("all", func(r *experiment.Result) float64 { return float64(r.ArrivalsInPause) }),
			series("over the budget", func(r *experiment.Result) float64 { return float64(r.ArrivalsOverBudget) }),
		}},
		{"first_token", report.Axes{Title: "Time to the first token", Y: "ms"}, []report.Series{
			series("p50", func(r *experiment.Result) float64 { return r.FirstTokenP50MS }),
			series("p99", func(r *experiment.Result) float64 { return r.FirstTokenP99MS }),
		}},
	})
	if err != nil {
		return err
	}
	axes := report.Axes{Title: "Requests that reach a target after its pause, scenario " + results[0].Scenario, X: "s since the end of the pause", Y: "requests in 250 ms"}
	return report.Lines(filepath.Join(dir, results[0].Scenario+"_return.svg"), axes, returnLines(results))
}

// returnLines returns the mean return curve of each policy over the seeds.
func returnLines(results []experiment.Result) []report.Line {
	var lines []report.Line
	for _, policy := range policyNames(results) {
		line := report.Line{Label: policy}
		seeds := 0.0
		for _, r := range results {
			if r.Policy != policy {
				continue
			}
			seeds++
			for i, requests := range r.ReturnCurve {
				if i == len(line.X) {
					line.X = append(line.X, float64(i)*experiment.ReturnInterval.Seconds())
					line.Y = append(line.Y, 0)
				}
				line.Y[i] += requests
			}
		}
		for i := range line.Y {
			line.Y[i] /= seeds
		}
		lines = append(lines, line)
	}
	return lines
}
