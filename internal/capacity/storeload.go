package capacity

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// StoreLoad is the rate of store calls of a deployment.
type StoreLoad struct {
	ReadsPerSecond  float64 `json:"reads_per_second"` // each return of a watch counts as one read
	WritesPerSecond float64 `json:"writes_per_second"`
	WaitingWatches  int     `json:"waiting_watches"`
}

// storeCounts is the part of the response of GET /admin/counts that is used here.
type storeCounts struct {
	Reads          int64 `json:"reads"`
	Writes         int64 `json:"writes"`
	WaitingWatches int   `json:"waiting_watches"`
}

// readStoreCounts reads the counters of the stand-in store. An empty URL returns zeros.
func readStoreCounts(ctx context.Context, url string) (storeCounts, error) {
	var counts storeCounts
	if url == "" {
		return counts, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/admin/counts", nil)
	if err != nil {
		return counts, eris.Wrap(err, "--store is not a valid URL")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return counts, eris.Wrap(err, "cannot read the counts of the store; correct --store")
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return counts, eris.Wrap(err, "cannot decode the counts of the store; --store must be a stand-in store")
	}
	return counts, nil
}

func storeLoadBetween(before, after storeCounts, elapsed time.Duration) StoreLoad {
	return StoreLoad{
		ReadsPerSecond:  float64(after.Reads-before.Reads) / elapsed.Seconds(),
		WritesPerSecond: float64(after.Writes-before.Writes) / elapsed.Seconds(),
		WaitingWatches:  after.WaitingWatches,
	}
}
