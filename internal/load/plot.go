package load

import (
	"fmt"
	"path/filepath"

	"corianderhitch/internal/report"
)

// plotResults plots the latency percentiles of the results, one line per result.
func plotResults(dir string, results []Result) error {
	for _, figure := range []struct {
		file, title string
		points      func(Result) []Percentile
	}{
		{"inter_token.svg", "Time between tokens", func(r Result) []Percentile { return r.InterToken }},
		{"first_token.svg", "Time to the first token", func(r Result) []Percentile { return r.FirstToken }},
	} {
		var lines []report.Line
		for _, r := range results {
			line := report.Line{Label: r.Label}
			for i, p := range figure.points(r) {
				line.X = append(line.X, float64(i))
				line.Y = append(line.Y, p.MS)
			}
			lines = append(lines, line)
		}
		axes := report.Axes{Title: figure.title, X: "percentile", Y: "ms", LogY: true, XTickLabels: percentileLabels()}
		if err := report.Lines(filepath.Join(dir, figure.file), axes, lines); err != nil {
			return err
		}
	}
	return nil
}

// percentileLabels returns the axis labels of percentilePoints.
func percentileLabels() []string {
	names := make([]string, len(percentilePoints))
	for i, p := range percentilePoints {
		names[i] = fmt.Sprintf("p%g", p)
	}
	return names
}
