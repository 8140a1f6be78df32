package capacity

import (
	"fmt"
	"strings"
)

// fitsTable returns a table of the fits with their confidence intervals.
func fitsTable(fits MetricFits) string {
	rows := [][]string{{"figure", "fit, ± half of the 95% interval", "R²", "residual", "measured sizes", "command"}}
	for _, s := range fits.inOrder() {
		rows = append(rows, []string{
			s.Name, formula(s), fmt.Sprintf("%.3f", s.Fit.RSquared), formatNumber(s.Fit.ResidualStdDev),
			strings.Join(s.Predictors, ", ") + ": " + s.Sizes, "`" + s.Command + "`",
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

func formula(s MetricFit) string {
	text := formatNumber(s.Fit.Coefficients[0])
	for i, name := range s.Predictors {
		text += fmt.Sprintf(" + (%.3g ± %.2g) × %s", s.Fit.Coefficients[i+1], s.Fit.ConfidenceMargin(i+1), name)
	}
	return text
}
