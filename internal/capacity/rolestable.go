package capacity

import "fmt"

// rolesTable returns a table of the resource usage of each role in a deployment of the
// given size.
func rolesTable(s Size, fits MetricFits) string {
	rows := [][]string{{"role", "processor, % of a core", "memory, MiB", "messages and bytes", "within the budget"}}
	rows = append(rows, gatewayRow(s, fits), idleAgentRow(s, fits), observingHostRow(s, fits), agentDocumentRow(s, fits), poolOwnerRow(s, fits), gatewayDocumentRow(s, fits))
	return markdownTable(rows)
}

func gatewayRow(s Size, fits MetricFits) []string {
	tokens, requests := s.TokensPerHost()/1000, s.RequestsPerHost()
	return []string{
		fmt.Sprintf("gateway, %.0f tokens/s and %.0f requests/s", s.TokensPerHost(), requests),
		formatNumber(fits.GatewayCPU.Fit.Predict(tokens, requests)),
		formatNumber(fits.GatewayMB.Fit.Predict(tokens, requests)),
		fmt.Sprintf("%.0f open streams; 4 net/rpc calls a request (directory lookup and entry, admission, end)", s.OpenStreams()/s.Hosts),
		"not part of control",
	}
}

func idleAgentRow(s Size, fits MetricFits) []string {
	cpu, mb, kb := fits.IdleAgentCPU.Fit.Predict(s.Hosts), fits.IdleAgentMB.Fit.Predict(s.Hosts), fits.IdleAgentKBPerSecond.Fit.Predict(s.Hosts)
	return []string{
		"agent at rest, observing included, without gateway and pools",
		formatNumber(cpu) + " ± " + formatNumber(s.Hosts*fits.IdleAgentCPU.Fit.ConfidenceMargin(1)),
		formatNumber(mb) + " ± " + formatNumber(s.Hosts*fits.IdleAgentMB.Fit.ConfidenceMargin(1)),
		fmt.Sprintf("%s ± %s kB/s", formatNumber(kb), formatNumber(s.Hosts*fits.IdleAgentKBPerSecond.Fit.ConfidenceMargin(1))),
		withinBudget(cpu, mb, kb),
	}
}

func observingHostRow(s Size, fits MetricFits) []string {
	targets := s.TargetsPerHost()
	cpu := targets * fits.ObservationCPU.Fit.Coefficients[1]
	mb := targets * fits.ObservationMB.Fit.Coefficients[1]
	kb := targets * fits.ObservationKBPerSecond.Fit.Coefficients[1]
	return []string{
		fmt.Sprintf("observing node, its part for %.1f targets", targets),
		formatNumber(cpu), formatNumber(mb), fmt.Sprintf("%.1f polls/s, %s kB/s", 2*targets, formatNumber(kb)), withinBudget(cpu, mb, kb),
	}
}

func agentDocumentRow(s Size, fits MetricFits) []string {
	changes := s.DocumentChangesPerDay / secondsPerDay
	accounts := s.Accounts / 1000
	cpu := changes * fits.AgentChangeCPU.Fit.Predict(accounts)
	kb := changes * fits.AgentChangeKB.Fit.Predict(accounts)
	mb := fits.AgentDocumentMB.Fit.Predict(accounts)
	return []string{
		fmt.Sprintf("document in the agent, %.0f accounts, %.0f changes a day", s.Accounts, s.DocumentChangesPerDay),
		formatNumber(cpu), formatNumber(mb) + " (whole agent)",
		fmt.Sprintf("%s kB/s; %s kB a change", formatNumber(kb), formatNumber(fits.AgentChangeKB.Fit.Predict(accounts))), withinBudget(cpu, mb, kb),
	}
}

func poolOwnerRow(s Size, fits MetricFits) []string {
	requests := s.RequestsPerSecond / s.Pools()
	return []string{
		fmt.Sprintf("pool owner, its part for %.0f requests/s of one of %.0f pools", requests, s.Pools()),
		formatNumber(requests * fits.AdmissionCPU.Fit.Coefficients[1]),
		formatNumber(requests * fits.AdmissionMB.Fit.Coefficients[1]),
		fmt.Sprintf("%.0f net/rpc calls/s (admissions and ends)", 2*requests),
		"no: not part of the resting budget, see below",
	}
}

func gatewayDocumentRow(s Size, fits MetricFits) []string {
	changes := s.DocumentChangesPerDay / secondsPerDay
	accounts := s.Accounts / 1000
	return []string{
		"document in the gateway",
		formatNumber(changes * fits.GatewayChangeCPU.Fit.Predict(accounts)),
		formatNumber(fits.GatewayDocumentMB.Fit.Predict(accounts)) + " (whole gateway)",
		"from the agent of its host", "not part of control",
	}
}

// withinBudget returns the table cell that says which resource budgets of the control
// plane a host exceeds.
func withinBudget(cpu, mb, kb float64) string {
	text := ""
	for _, resource := range []struct {
		name         string
		used, budget float64
	}{{"processor", cpu, cpuPercentBudget}, {"memory", mb, memoryMBBudget}, {"bytes", kb, networkKBPerSecondBudget}} {
		if resource.used > resource.budget {
			if text != "" {
				text += ", "
			}
			text += resource.name
		}
	}
	if text == "" {
		return "yes"
	}
	return "**no: " + text + "**"
}

// formatNumber formats x with at most two decimals, fewer for larger values.
func formatNumber(x float64) string {
	switch {
	case x >= 100 || x <= -100:
		return fmt.Sprintf("%.0f", x)
	case x >= 10 || x <= -10:
		return fmt.Sprintf("%.1f", x)
	default:
		return fmt.Sprintf("%.2f", x)
	}
}
