package capacity

import (
	"fmt"
	"path/filepath"
	"strings"
)

// MetricFit is the fit of one metric over the sizes of one series of points.
type MetricFit struct {
	Name       string   // metric with its unit
	Command    string   // command that made the last measurement
	Predictors []string // names of the predictors
	Sizes      string   // measured sizes, one per point
	Fit        Fit
}

// MetricFits are the fits from which the tables of the capacity page are computed.
type MetricFits struct {
	// Idle agent: by number of hosts, at 6.6 targets per host, and by number of observed
	// targets per host.
	IdleAgentCPU, IdleAgentMB, IdleAgentKBPerSecond       MetricFit
	ObservationCPU, ObservationKBPerSecond, ObservationMB MetricFit
	// Gateway: by tokens per second and requests per second.
	GatewayCPU, GatewayMB MetricFit
	// Agent that admits requests: by requests per second.
	AdmissionCPU, AdmissionMB MetricFit
	// Environment document: CPU seconds and bytes per change, and memory, by number of
	// client accounts.
	AgentChangeCPU, AgentChangeKB, AgentDocumentMB, GatewayChangeCPU, GatewayDocumentMB MetricFit
	// Ledger: by calls per second.
	LedgerWrites, LedgerReads, LedgerCPU MetricFit
}

// fitter fits metrics to the points in dir and keeps the first error.
type fitter struct {
	dir string
	err error
}

// seriesFilter selects the points of one series and role from a file.
type seriesFilter struct {
	file, name, role string
}

// predictor is a size of the deployment over which a metric is fitted.
type predictor struct {
	name  string
	value func(Point) float64
}

// fit fits y over the predictors for the points that filter selects. After an error it
// returns a zero MetricFit.
func (f *fitter) fit(filter seriesFilter, name string, y func(Point) float64, predictors ...predictor) MetricFit {
	if f.err != nil {
		return MetricFit{}
	}
	all, err := ReadPoints(filepath.Join(f.dir, filter.file))
	if err != nil {
		f.err = err
		return MetricFit{}
	}
	result := MetricFit{Name: name}
	var xs [][]float64
	var ys []float64
	var sizes []string
	for _, p := range all {
		if p.Series != filter.name || p.Role != filter.role {
			continue
		}
		row := make([]float64, len(predictors))
		for i, x := range predictors {
			row[i] = x.value(p)
		}
		xs, ys = append(xs, row), append(ys, y(p))
		sizes = append(sizes, strings.Trim(fmt.Sprint(row), "[]"))
		result.Command = p.Command
	}
	for _, x := range predictors {
		result.Predictors = append(result.Predictors, x.name)
	}
	result.Sizes = strings.Join(sizes, "; ")
	if result.Fit, err = FitLinear(xs, ys); err != nil {
		f.err = fmt.Errorf("%s of %s: %w", name, filter.file, err)
	}
	return result
}

// FitMeasurements fits the measurements in a directory.
func FitMeasurements(dir string) (MetricFits, error) {
	f := &fitter{dir: dir}
	hosts := predictor{"hosts", func(p Point) float64 { return float64(p.Hosts) }}
	observed := predictor{"targets a host", func(p Point) float64 { return float64(p.Targets) / float64(p.Hosts) }}
	tokens := predictor{"1000 tokens/s", func(p Point) float64 { return p.TokensPerSecond / 1000 }}
	requests := predictor{"requests/s", func(p Point) float64 { return p.RequestsPerSecond }}
	accounts := predictor{"1000 accounts", func(p Point) float64 { return float64(p.Accounts) / 1000 }}
	cpu := func(p Point) float64 { return p.CorePercent.Mean }
	megabytes := func(p Point) float64 { return p.ResidentMB.Mean }
	kilobytes := func(p Point) float64 { return p.KBPerSecond.Mean }
	perChange := func(metric func(Point) float64) func(Point) float64 {
		return func(p Point) float64 { return metric(p) / p.ChangesPerSecond }
	}
	idleAgent := seriesFilter{"rest.jsonl", "rest-ratio", "agent"}
	observingAgent := seriesFilter{"rest.jsonl", "rest-targets", "agent"}
	gateway := seriesFilter{"gateway.jsonl", "gateway-tokens", "gateway"}
	admittingAgent := seriesFilter{"gateway.jsonl", "gateway-tokens", "agent"}
	agentDocument := seriesFilter{"documents.jsonl", "documents", "agent"}
	gatewayDocument := seriesFilter{"documents.jsonl", "documents", "gateway"}
	ledger := seriesFilter{"ledger.jsonl", "ledger", "gateway"}
	fits := MetricFits{
		IdleAgentCPU:           f.fit(idleAgent, "agent at rest, % of a core", cpu, hosts),
		IdleAgentMB:            f.fit(idleAgent, "agent at rest, MiB", megabytes, hosts),
		IdleAgentKBPerSecond:   f.fit(idleAgent, "agent at rest, kB/s", kilobytes, hosts),
		ObservationCPU:         f.fit(observingAgent, "observing, % of a core", cpu, observed),
		ObservationMB:          f.fit(observingAgent, "observing, MiB", megabytes, observed),
		ObservationKBPerSecond: f.fit(observingAgent, "observing, kB/s", kilobytes, observed),
		GatewayCPU:             f.fit(gateway, "gateway, % of a core", cpu, tokens, requests),
		GatewayMB:              f.fit(gateway, "gateway, MiB", megabytes, tokens, requests),
		AdmissionCPU:           f.fit(admittingAgent, "agent that admits, % of a core", cpu, requests),
		AdmissionMB:            f.fit(admittingAgent, "agent that admits, MiB", megabytes, requests),
		AgentChangeCPU:         f.fit(agentDocument, "agent, % of a core s a change", perChange(cpu), accounts),
		AgentChangeKB:          f.fit(agentDocument, "agent, kB a change", perChange(kilobytes), accounts),
		AgentDocumentMB:        f.fit(agentDocument, "agent with the document, MiB", megabytes, accounts),
		GatewayChangeCPU:       f.fit(gatewayDocument, "gateway, % of a core s a change", perChange(cpu), accounts),
		GatewayDocumentMB:      f.fit(gatewayDocument, "gateway with the document, MiB", megabytes, accounts),
		LedgerWrites:           f.fit(ledger, "store writes/s", func(p Point) float64 { return p.Store.WritesPerSecond }, requests),
		LedgerReads:            f.fit(ledger, "store reads/s", func(p Point) float64 { return p.Store.ReadsPerSecond }, requests),
		LedgerCPU:              f.fit(ledger, "gateway, % of a core", cpu, requests),
	}
	return fits, f.err
}
