package capacity

import (
	"fmt"
	"strings"
)

// slopesTable lists the fits with their spread.
func slopesTable(m Slopes) string {
	rows := [][]string{{"figure", "fit, ± half of the 95% interval", "R²", "residual", "measured sizes", "command"}}
	for _, s := range m.all() {
		rows = append(rows, []string{
			s.Name, formula(s), fmt.Sprintf("%.3f", s.Fit.RSquared), number(s.Fit.Residual),
			strings.Join(s.Factors, ", ") + ": " + s.Sizes, "`" + s.Command + "`",
		})
	}
	return table(rows)
}

func (m Slopes) all() []Slope {
	return []Slope{
		m.RestCore, m.RestMB, m.RestKB, m.TargetCore, m.TargetMB, m.TargetKB, m.GatewayCore, m.GatewayMB, m.AdmitCore, m.AdmitMB,
		m.AgentChangeCore, m.AgentChangeKB, m.AgentDocumentMB, m.GatewayChangeCore, m.GatewayDocumentMB,
		m.LedgerWrites, m.LedgerReads, m.LedgerCore,
	}
}

func formula(s Slope) string {
	text := number(s.Fit.Coefficients[0])
	for i, name := range s.Factors {
		text += fmt.Sprintf(" + (%.3g ± %.2g) × %s", s.Fit.Coefficients[i+1], s.Fit.Margin(i+1), name)
	}
	return text
}
