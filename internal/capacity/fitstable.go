package capacity

import (
	"fmt"
	"strings"
)

// fitsTable returns a table of the fits with their confidence intervals.
func fitsTable(fits MetricFits) string {
	rows := [][]string{{"figure", "fit, ± half of the 95% interval", "R²", "residual", "measured sizes", "command"}}
	for _, metric := range fits.inOrder() {
		rows = append(rows, []string{
			metric.Name, formula(metric), fmt.Sprintf("%.3f", metric.Fit.RSquared), formatNumber(metric.Fit.ResidualStdDev),
			strings.Join(metric.Predictors, ", ") + ": " + metric.Sizes, "`" + metric.Command + "`",
		})
	}
	return markdownTable(rows)
}

func (f MetricFits) inOrder() []MetricFit {
	return []MetricFit{
		f.IdleAgentCPU, f.IdleAgentMB, f.IdleAgentKBPerSecond, f.ObservationCPU, f.ObservationMB, f.ObservationKBPerSecond, f.GatewayCPU, f.GatewayMB, f.AdmissionCPU, f.AdmissionMB,
		f.AgentChangeCPU, f.AgentChangeKB, f.AgentDocumentMB, f.GatewayChangeCPU, f.GatewayDocumentMB,
		f.LedgerWrites, f.LedgerReads, f.LedgerCPU,
	}
}

func formula(metric MetricFit) string {
	text := formatNumber(metric.Fit.Coefficients[0])
	for i, name := range metric.Predictors {
		text += fmt.Sprintf(" + (%.3g ± %.2g) × %s", metric.Fit.Coefficients[i+1], metric.Fit.ConfidenceMargin(i+1), name)
	}
	return text
}
