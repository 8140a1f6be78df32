// Command gendoc writes docs/METRICS.md from the instruments of the edge process.
// With -check it changes nothing and fails if the file is not current.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric/noop"

	"corianderhitch/internal/edge/metrics"
)

func main() {
	out := flag.String("out", "docs/METRICS.md", "file to write or check")
	check := flag.Bool("check", false, "fail if the file is not current, and change nothing")
	flag.Parse()
	if err := run(*out, *check); err != nil {
		fmt.Fprintln(os.Stderr, "gendoc:", err)
		os.Exit(1)
	}
}

func run(out string, check bool) error {
	m, err := metrics.New(noop.NewMeterProvider().Meter("edge"), metrics.Gauges{})
	if err != nil {
		return err
	}
	var page bytes.Buffer
	if err := metrics.WritePage(&page, m.Defined); err != nil {
		return err
	}
	if !check {
		return os.WriteFile(out, page.Bytes(), 0o644)
	}
	committed, err := os.ReadFile(out)
	if err != nil {
		return eris.Wrap(err, "page of metrics cannot be read; run make generate")
	}
	if !bytes.Equal(committed, page.Bytes()) {
		return eris.Errorf("%s is not current; run make generate and commit it", out)
	}
	return nil
}
