package load

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"corianderhitch/internal/experiment"
	"corianderhitch/internal/report"
	"corianderhitch/internal/settings"
)

// ReportSettings are the flags of "hitchload report".
type ReportSettings struct {
	Experiments []string `flag:"experiment" usage:"files with the lines that \"hitchload experiment\" printed, one scenario each"`
	Results     []string `flag:"result" usage:"result.json files of \"hitchload run\" or \"hitchload compare\""`
	Out         string   `flag:"out" default:"docs/figures" usage:"directory for the figures" validate:"required"`
}

// ReportCommand returns the command "hitchload report".
func ReportCommand() *cobra.Command {
	var s ReportSettings
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Draw figures of experiments and of runs",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Load(cmd.Flags(), &s); err != nil {
				return err
			}
			return drawFigures(s)
		},
	}
	settings.Register(cmd.Flags(), &s)
	return cmd
}

// drawFigures draws bar charts of each experiment and one plot per latency of all
// results.
func drawFigures(s ReportSettings) error {
	if err := os.MkdirAll(s.Out, 0o755); err != nil {
		return eris.Wrap(err, "cannot create the directory --out")
	}
	for _, path := range s.Experiments {
		results, err := readExperimentResults(path)
		if err != nil {
			return err
		}
		if err := drawExperiment(s.Out, results); err != nil {
			return err
		}
	}
	var all []Result
	for _, path := range s.Results {
		content, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "cannot read a result; --result must name a result.json")
		}
		var results []Result
		if err := json.Unmarshal(content, &results); err != nil {
			return eris.Wrapf(err, "%s is not a valid result.json", path)
		}
		all = append(all, results...)
	}
	return plotResults(s.Out, all)
}

// drawExperiment draws the medians over the seeds of one scenario.
func drawExperiment(dir string, results []experiment.Result) error {
	if len(results[0].ReturnCurve) > 0 {
		return drawPauses(dir, results)
	}
	if comparesLostStreams(results) {
		return drawRestarts(dir, results)
	}
	series := func(label string, metric func(*experiment.Result) float64) report.Series {
		return policySeries(results, label, metric)
	}
	return drawBars(dir, results, []barFigure{
		{"inter_token", report.Axes{Title: "Time between tokens", Y: "ms"}, []report.Series{
			series("p50", func(r *experiment.Result) float64 { return r.InterTokenP50MS }),
			series("p95", func(r *experiment.Result) float64 { return r.InterTokenP95MS }),
			series("p99", func(r *experiment.Result) float64 { return r.InterTokenP99MS }),
		}},
		{"preemptions", report.Axes{Title: "Preemptions per 1000 answers", Y: "preemptions"}, []report.Series{
			series("", func(r *experiment.Result) float64 { return r.PreemptionsPer1000 }),
		}},
		{"stall", report.Axes{Title: "Stall time of all callers", Y: "s"}, []report.Series{
			series("", func(r *experiment.Result) float64 { return r.StallSeconds }),
		}},
		{"fairness", report.Axes{Title: "Jain index of the weighted shares", Y: "index"}, []report.Series{
			series("", func(r *experiment.Result) float64 { return r.FairnessJain }),
		}},
	})
}

// barFigure is a bar chart with a group for each policy.
type barFigure struct {
	file   string
	axes   report.Axes
	series []report.Series
}

// policySeries returns the median of a metric for each policy.
func policySeries(results []experiment.Result, label string, metric func(*experiment.Result) float64) report.Series {
	return report.Series{Label: label, Values: medianPerPolicy(results, policyNames(results), metric)}
}

func drawBars(dir string, results []experiment.Result, figures []barFigure) error {
	scenario := results[0].Scenario
	for _, figure := range figures {
		figure.axes.Title += ", scenario " + scenario
		file := filepath.Join(dir, scenario+"_"+figure.file+".svg")
		if err := report.Bars(file, figure.axes, policyNames(results), figure.series); err != nil {
			return err
		}
	}
	return nil
}
