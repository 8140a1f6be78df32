package capacity

import "fmt"

// rolesTable works out each role at a size.
func rolesTable(s Size, m Slopes) string {
	rows := [][]string{{"role", "processor, % of a core", "memory, MiB", "messages and bytes", "within the budget"}}
	rows = append(rows, gatewayRow(s, m), agentRow(s, m), observerRow(s, m), watcherRow(s, m), admitRow(s, m), gatewayDocumentRow(s, m))
	return table(rows)
}

func gatewayRow(s Size, m Slopes) []string {
	tokens, requests := s.TokensPerNode()/1000, s.RequestsPerNode()
	return []string{
		fmt.Sprintf("gateway, %.0f tokens/s and %.0f requests/s", s.TokensPerNode(), requests),
		number(m.GatewayCore.Fit.At(tokens, requests)),
		number(m.GatewayMB.Fit.At(tokens, requests)),
		fmt.Sprintf("%.0f open streams; 4 net/rpc calls a request (directory lookup and entry, admission, end)", s.OpenStreams()/s.Nodes),
		"not part of control",
	}
}

func agentRow(s Size, m Slopes) []string {
	core, mb, kb := m.RestCore.Fit.At(s.Nodes), m.RestMB.Fit.At(s.Nodes), m.RestKB.Fit.At(s.Nodes)
	return []string{
		"agent at rest, observing included, without gateway and pools",
		number(core) + " ± " + number(s.Nodes*m.RestCore.Fit.Margin(1)),
		number(mb) + " ± " + number(s.Nodes*m.RestMB.Fit.Margin(1)),
		fmt.Sprintf("%s ± %s kB/s", number(kb), number(s.Nodes*m.RestKB.Fit.Margin(1))),
		within(core, mb, kb),
	}
}

func observerRow(s Size, m Slopes) []string {
	targets := s.TargetsPerNode()
	core := targets * m.TargetCore.Fit.Coefficients[1]
	mb := targets * m.TargetMB.Fit.Coefficients[1]
	kb := targets * m.TargetKB.Fit.Coefficients[1]
	return []string{
		fmt.Sprintf("observing node, its part for %.1f targets", targets),
		number(core), number(mb), fmt.Sprintf("%.1f polls/s, %s kB/s", 2*targets, number(kb)), within(core, mb, kb),
	}
}

func watcherRow(s Size, m Slopes) []string {
	changes := s.ChangesPerDay / secondsPerDay
	accounts := s.Accounts / 1000
	core := changes * m.AgentChangeCore.Fit.At(accounts)
	kb := changes * m.AgentChangeKB.Fit.At(accounts)
	mb := m.AgentDocumentMB.Fit.At(accounts)
	return []string{
		fmt.Sprintf("document in the agent, %.0f accounts, %.0f changes a day", s.Accounts, s.ChangesPerDay),
		number(core), number(mb) + " (whole agent)",
		fmt.Sprintf("%s kB/s; %s kB a change", number(kb), number(m.AgentChangeKB.Fit.At(accounts))), within(core, mb, kb),
	}
}

func admitRow(s Size, m Slopes) []string {
	requests := s.RequestsPerSecond / s.Pools()
	return []string{
		fmt.Sprintf("pool owner, its part for %.0f requests/s of one of %.0f pools", requests, s.Pools()),
		number(requests * m.AdmitCore.Fit.Coefficients[1]),
		number(requests * m.AdmitMB.Fit.Coefficients[1]),
		fmt.Sprintf("%.0f net/rpc calls/s (admissions and ends)", 2*requests),
		"no: not part of the resting budget, see below",
	}
}

func gatewayDocumentRow(s Size, m Slopes) []string {
	changes := s.ChangesPerDay / secondsPerDay
	accounts := s.Accounts / 1000
	return []string{
		"document in the gateway",
		number(changes * m.GatewayChangeCore.Fit.At(accounts)),
		number(m.GatewayDocumentMB.Fit.At(accounts)) + " (whole gateway)",
		"from the agent of its host", "not part of control",
	}
}

// within tells which budgets of control a node keeps.
func within(core, mb, kb float64) string {
	text := ""
	for _, b := range []struct {
		name        string
		used, bound float64
	}{{"processor", core, budgetCorePercent}, {"memory", mb, budgetMB}, {"bytes", kb, budgetKBPerSecond}} {
		if b.used > b.bound {
			if text != "" {
				text += ", "
			}
			text += b.name
		}
	}
	if text == "" {
		return "yes"
	}
	return "**no: " + text + "**"
}

// number writes a figure with two or three significant digits.
func number(x float64) string {
	switch {
	case x >= 100 || x <= -100:
		return fmt.Sprintf("%.0f", x)
	case x >= 10 || x <= -10:
		return fmt.Sprintf("%.1f", x)
	default:
		return fmt.Sprintf("%.2f", x)
	}
}
