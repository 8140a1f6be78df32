// Command gendoc generates docs/METRICS.md from the instruments of the edge process.
// With -check it writes nothing and fails if the file is outdated.
package main

import (
	"io"

	"go.opentelemetry.io/otel/metric/noop"

	"corianderhitch/internal/docpage"
	"corianderhitch/internal/edge/metrics"
)

func main() { docpage.Main("docs/METRICS.md", page) }

func page(w io.Writer) error {
	m, err := metrics.New(noop.NewMeterProvider().Meter("edge"), metrics.Gauges{})
	if err != nil {
		return err
	}
	return metrics.WritePage(w, m.Definitions)
}
