package load

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotResults draws the distributions of the results, one line a result.
func plotResults(dir string, results []Result) error {
	figures := []struct {
		file, title string
		points      func(Result) []Percentile
	}{
		{"inter_token.svg", "Time between tokens", func(r Result) []Percentile { return r.InterToken }},
		{"first_token.svg", "Time to the first token", func(r Result) []Percentile { return r.FirstToken }},
	}
	for _, f := range figures {
		if err := plotPercentiles(filepath.Join(dir, f.file), f.title, results, f.points); err != nil {
			return err
		}
	}
	return nil
}

func plotPercentiles(file, title string, results []Result, points func(Result) []Percentile) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, r := range results {
		xys := plotter.XYs{}
		for _, point := range points(r) {
			xys = append(xys, plotter.XY{X: point.Percent, Y: point.MS})
		}
		if len(xys) > 0 {
			lines = append(lines, r.Label, xys)
		}
	}
	if len(lines) == 0 {
		return nil
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
