package report

import (
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
)

// Series is a set of bars with one value per category.
type Series struct {
	Label  string
	Values []float64 // one per category, in the same order
}

// groupWidth is the total width of the bars of one category.
const groupWidth = 1.4 * vg.Centimeter

// labelRotation is the angle of the category labels in radians, so that they do not
// overlap.
const labelRotation = math.Pi / 8

// Bars draws a grouped bar chart, one group per category, into an SVG file. It writes
// nothing if there are no categories or no series. The Y axis is always linear.
func Bars(file string, axes Axes, categories []string, series []Series) error {
	if len(categories) == 0 || len(series) == 0 {
		return nil
	}
	axes.LogY = false
	axes.XTickLabels = categories
	p := axes.plot()
	barWidth := groupWidth / vg.Length(len(series))
	for i, s := range series {
		bars, err := plotter.NewBarChart(plotter.Values(s.Values), barWidth)
		if err != nil {
			return eris.Wrapf(err, "cannot draw %s", file)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(2*i-len(series)+1) / 2
		p.Add(bars)
		if len(series) > 1 {
			p.Legend.Add(s.Label, bars)
		}
	}
	p.Legend.Left = false
	p.X.Tick.Label.Rotation = labelRotation
	p.X.Tick.Label.XAlign = text.XRight
	p.X.Tick.Label.YAlign = text.YCenter
	return save(p, file)
}
