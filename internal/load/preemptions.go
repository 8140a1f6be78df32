package load

import (
	"context"
	"encoding/json"
	"net/http"

	"corianderhitch/api/engine"
)

// totalPreemptions sums the preemption counts that engines report. Unreachable engines
// count as zero.
func totalPreemptions(ctx context.Context, engines []string) int64 {
	sum := int64(0)
	for _, base := range engines {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/load", nil)
		if err != nil {
			continue
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		var report engine.LoadReport
		if json.NewDecoder(response.Body).Decode(&report) == nil {
			sum += report.Preemptions
		}
		_ = response.Body.Close()
	}
	return sum
}
