package capacity

import (
	"fmt"
	"path/filepath"
	"strings"
)

// Slope is a fitted figure of one series.
type Slope struct {
	Name    string // what is fitted, with its unit
	Command string
	Factors []string // names of the factors
	Sizes   string   // the measured sizes
	Fit     Fit
}

// Slopes are the fits that the page is worked out from.
type Slopes struct {
	// Agent at rest by number of hosts, with 6.6 targets a host, and by number of
	// observed targets a host.
	RestCore, RestMB, RestKB       Slope
	TargetCore, TargetKB, TargetMB Slope
	// Gateway by tokens/s and requests/s.
	GatewayCore, GatewayMB Slope
	// Agent by requests/s that it admits.
	AdmitCore, AdmitMB Slope
	// Document by client accounts: processor seconds and bytes a change, memory.
	AgentChangeCore, AgentChangeKB, AgentDocumentMB, GatewayChangeCore, GatewayDocumentMB Slope
	// Ledger by calls/s.
	LedgerWrites, LedgerReads, LedgerCore Slope
}

// fitter collects fits and the first error.
type fitter struct {
	dir string
	err error
}

// series selects points of a file.
type series struct {
	file, name, role string
}

// factor is one size that a figure is fitted over.
type factor struct {
	name string
	of   func(Point) float64
}

func (f *fitter) fit(s series, name string, y func(Point) float64, factors ...factor) Slope {
	if f.err != nil {
		return Slope{}
	}
	all, err := ReadPoints(filepath.Join(f.dir, s.file))
	if err != nil {
		f.err = err
		return Slope{}
	}
	slope := Slope{Name: name}
	var xs [][]float64
	var ys []float64
	var sizes []string
	for _, p := range all {
		if p.Series != s.name || p.Role != s.role {
			continue
		}
		row := make([]float64, len(factors))
		for i, x := range factors {
			row[i] = x.of(p)
		}
		xs, ys = append(xs, row), append(ys, y(p))
		sizes = append(sizes, strings.Trim(fmt.Sprint(row), "[]"))
		slope.Command = p.Command
	}
	for _, x := range factors {
		slope.Factors = append(slope.Factors, x.name)
	}
	slope.Sizes = strings.Join(sizes, "; ")
	if slope.Fit, err = FitLine(xs, ys); err != nil {
		f.err = fmt.Errorf("%s of %s: %w", name, s.file, err)
	}
	return slope
}

// ReadSlopes fits the measurements of a directory.
func ReadSlopes(dir string) (Slopes, error) {
	f := &fitter{dir: dir}
	hosts := factor{"hosts", func(p Point) float64 { return float64(p.Hosts) }}
	observed := factor{"targets a host", func(p Point) float64 { return float64(p.Targets) / float64(p.Hosts) }}
	tokens := factor{"1000 tokens/s", func(p Point) float64 { return p.TokensPerSecond / 1000 }}
	requests := factor{"requests/s", func(p Point) float64 { return p.RequestsPerSecond }}
	accounts := factor{"1000 accounts", func(p Point) float64 { return float64(p.Accounts) / 1000 }}
	core := func(p Point) float64 { return p.CorePercent.Mean }
	megabytes := func(p Point) float64 { return p.ResidentMB.Mean }
	kilobytes := func(p Point) float64 { return p.KBPerSecond.Mean }
	aChange := func(figure func(Point) float64) func(Point) float64 {
		return func(p Point) float64 { return figure(p) / p.ChangesPerSecond }
	}
	ratio := series{"rest.jsonl", "rest-ratio", "agent"}
	targets := series{"rest.jsonl", "rest-targets", "agent"}
	gateway := series{"gateway.jsonl", "gateway-tokens", "gateway"}
	admit := series{"gateway.jsonl", "gateway-tokens", "agent"}
	agentDocument := series{"documents.jsonl", "documents", "agent"}
	gatewayDocument := series{"documents.jsonl", "documents", "gateway"}
	ledger := series{"ledger.jsonl", "ledger", "gateway"}
	s := Slopes{
		RestCore:          f.fit(ratio, "agent at rest, % of a core", core, hosts),
		RestMB:            f.fit(ratio, "agent at rest, MiB", megabytes, hosts),
		RestKB:            f.fit(ratio, "agent at rest, kB/s", kilobytes, hosts),
		TargetCore:        f.fit(targets, "observing, % of a core", core, observed),
		TargetMB:          f.fit(targets, "observing, MiB", megabytes, observed),
		TargetKB:          f.fit(targets, "observing, kB/s", kilobytes, observed),
		GatewayCore:       f.fit(gateway, "gateway, % of a core", core, tokens, requests),
		GatewayMB:         f.fit(gateway, "gateway, MiB", megabytes, tokens, requests),
		AdmitCore:         f.fit(admit, "agent that admits, % of a core", core, requests),
		AdmitMB:           f.fit(admit, "agent that admits, MiB", megabytes, requests),
		AgentChangeCore:   f.fit(agentDocument, "agent, % of a core s a change", aChange(core), accounts),
		AgentChangeKB:     f.fit(agentDocument, "agent, kB a change", aChange(kilobytes), accounts),
		AgentDocumentMB:   f.fit(agentDocument, "agent with the document, MiB", megabytes, accounts),
		GatewayChangeCore: f.fit(gatewayDocument, "gateway, % of a core s a change", aChange(core), accounts),
		GatewayDocumentMB: f.fit(gatewayDocument, "gateway with the document, MiB", megabytes, accounts),
		LedgerWrites:      f.fit(ledger, "store writes/s", func(p Point) float64 { return p.Store.WritesPerSecond }, requests),
		LedgerReads:       f.fit(ledger, "store reads/s", func(p Point) float64 { return p.Store.ReadsPerSecond }, requests),
		LedgerCore:        f.fit(ledger, "gateway, % of a core", core, requests),
	}
	return s, f.err
}
