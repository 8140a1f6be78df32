package capacity

import "fmt"

// storeTable splits the store's budget among the duties.
func storeTable(s Size, m Slopes) string {
	rows := [][]string{{"duty", "reads/s", "writes/s", "basis"}}
	reads, writes := 0.0, 0.0
	for _, d := range StoreDuties(s) {
		rows = append(rows, []string{d.Name, number(d.Reads), number(d.Writes), d.Basis})
		reads += d.Reads
		writes += d.Writes
	}
	rows = append(rows, []string{"sum", number(reads), number(writes), fmt.Sprintf("of %.0f reads/s and %.0f writes/s", storeReads, storeWrites)})
	perCall := m.LedgerWrites.Fit.Coefficients[1]
	calls := StoreLeft(s) / perCall
	rows = append(rows, []string{
		"calls that may run at most once", number(calls * m.LedgerReads.Fit.Coefficients[1]), number(StoreLeft(s)),
		fmt.Sprintf("what is left, at %.2f writes a call: **%.0f calls/s, %.1f%% of all requests**", perCall, calls, 100*calls/s.RequestsPerSecond),
	})
	return table(rows) + fmt.Sprintf("\nWaiting watches: %.0f, two in each failure domain.\n", watchersPerDomain*s.Domains)
}
