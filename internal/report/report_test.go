package report

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFiguresAreWrittenAsSVG(t *testing.T) {
	bars := filepath.Join(t.TempDir(), "bars.svg")
	require.NoError(t, Bars(bars, Axes{Title: "t", Y: "ms"}, []string{"a", "b"}, []Series{{"p50", []float64{1, 2}}, {"p99", []float64{3, 0}}}))
	lines := filepath.Join(t.TempDir(), "lines.svg")
	require.NoError(t, Lines(lines, Axes{Title: "t", LogY: true}, []Line{{"a", []float64{0, 1}, []float64{0, 5}}, {Label: "empty"}}))
	for _, file := range []string{bars, lines} {
		content, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Contains(t, string(content), "<svg")
	}
}

func TestEmptyFigureWritesNoFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "none.svg")
	require.NoError(t, Lines(file, Axes{}, []Line{{Label: "empty"}}))
	require.NoError(t, Bars(file, Axes{}, nil, nil))
	require.NoFileExists(t, file)
	require.Error(t, Lines(filepath.Join(t.TempDir(), "no", "dir.svg"), Axes{}, []Line{{"a", []float64{0}, []float64{1}}}))
}
