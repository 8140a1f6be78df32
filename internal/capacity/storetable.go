package capacity

import "fmt"

// storeTable returns a table that splits the store's budget among its uses.
func storeTable(s Size, fits MetricFits) string {
	rows := [][]string{{"duty", "reads/s", "writes/s", "basis"}}
	reads, writes := 0.0, 0.0
	for _, d := range ListStoreDuties(s) {
		rows = append(rows, []string{d.Name, formatNumber(d.Reads), formatNumber(d.Writes), d.Basis})
		reads += d.Reads
		writes += d.Writes
	}
	rows = append(rows, []string{"sum", formatNumber(reads), formatNumber(writes), fmt.Sprintf("of %.0f reads/s and %.0f writes/s", storeReadBudget, storeWriteBudget)})
	perCall := fits.LedgerWrites.Fit.Coefficients[1]
	calls := RemainingStoreWrites(s) / perCall
	rows = append(rows, []string{
		"calls that may run at most once", formatNumber(calls * fits.LedgerReads.Fit.Coefficients[1]), formatNumber(RemainingStoreWrites(s)),
		fmt.Sprintf("what is left, at %.2f writes a call: **%.0f calls/s, %.1f%% of all requests**", perCall, calls, 100*calls/s.RequestsPerSecond),
	})
	return markdownTable(rows) + fmt.Sprintf("\nWaiting watches: %.0f, two in each failure domain.\n", watchersPerDomain*s.Domains)
}
