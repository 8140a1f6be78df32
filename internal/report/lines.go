// Package report draws charts of measurements as SVG files.
package report

import (
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	width     = 18 * vg.Centimeter
	height    = 10 * vg.Centimeter
	lineWidth = 1.2 // points
	// minLogValue replaces smaller values, such as zero, on a logarithmic axis.
	minLogValue = 0.01
)

// Axes describes the title and the axes of a chart.
type Axes struct {
	Title string
	X, Y  string // axis labels, with units
	LogY  bool   // values below 0.01 are drawn at 0.01
	// XTickLabels replaces the numbers of the X axis: label i is at x = i.
	XTickLabels []string
}

// Line is one line of a chart. X and Y have the same length.
type Line struct {
	Label string
	X, Y  []float64
}

// Lines draws a line chart into an SVG file. It writes nothing if all lines are empty.
func Lines(file string, axes Axes, lines []Line) error {
	p := axes.plot()
	drawn := 0
	for _, l := range lines {
		if len(l.X) == 0 {
			continue
		}
		points := make(plotter.XYs, len(l.X))
		for i := range l.X {
			points[i] = plotter.XY{X: l.X[i], Y: axes.clampForLogScale(l.Y[i])}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return eris.Wrapf(err, "cannot draw %s", file)
		}
		line.Color = plotutil.Color(drawn)
		line.Width = vg.Points(lineWidth)
		dots.Color = plotutil.Color(drawn)
		dots.Shape = draw.CircleGlyph{}
		p.Add(line, dots)
		p.Legend.Add(l.Label, line, dots)
		drawn++
	}
	if drawn == 0 {
		return nil
	}
	return save(p, file)
}

// plot returns an empty plot with these axes.
func (a Axes) plot() *plot.Plot {
	p := plot.New()
	p.Title.Text = a.Title
	p.X.Label.Text = a.X
	p.Y.Label.Text = a.Y
	p.Legend.Top = true
	p.Legend.Left = true
	p.BackgroundColor = color.White
	if len(a.XTickLabels) > 0 {
		p.NominalX(a.XTickLabels...)
	}
	if a.LogY {
		p.Y.Scale = plot.LogScale{}
		p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	return p
}

func (a Axes) clampForLogScale(y float64) float64 {
	if a.LogY {
		return max(y, minLogValue)
	}
	return y
}

func save(p *plot.Plot, file string) error {
	return eris.Wrap(p.Save(width, height, file), "cannot write a chart; choose another directory")
}
