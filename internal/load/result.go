package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentile is one point of a latency distribution.
type Percentile struct {
	Percent float64 `json:"percent"`
	MS      float64 `json:"ms"`
}

// Result is the summary of a run, as written to result.json.
type Result struct {
	Label           string         `json:"label"`
	Seed            uint64         `json:"seed"`
	Seconds         float64        `json:"seconds"`
	Offered         int            `json:"offered"`
	Completed       int            `json:"completed"`
	Rejected        map[string]int `json:"refused"`
	Failed          map[string]int `json:"failed"`
	Violations      []string       `json:"violations"`
	Tokens          int64          `json:"tokens"`
	TokensPerSecond float64        `json:"tokens_per_second"`
	StallSeconds    float64        `json:"stall_seconds"`
	Preemptions     int64          `json:"preemptions"`
	FirstToken      []Percentile   `json:"first_token"`
	InterToken      []Percentile   `json:"inter_token"`
	Lookup          []Percentile   `json:"lookup"`
	Hold            []Percentile   `json:"hold"`
}

// percentilePoints are the percentiles that a result contains of each distribution.
var percentilePoints = []float64{50, 75, 90, 95, 99, 99.9, 100}

// Result returns the summary of a run that took the given time. Preemptions is left at
// zero.
func (r *Recorder) Result(label string, seed uint64, elapsed time.Duration) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Result{
		Label:           label,
		Seed:            seed,
		Seconds:         elapsed.Seconds(),
		Offered:         r.offered,
		Completed:       r.completed,
		Rejected:        r.rejected,
		Failed:          r.failed,
		Violations:      append([]string{}, r.violations...),
		Tokens:          r.tokens,
		TokensPerSecond: float64(r.tokens) / elapsed.Seconds(),
		StallSeconds:    r.stallTime.Seconds(),
		FirstToken:      percentiles(r.firstToken),
		InterToken:      percentiles(r.interToken),
		Lookup:          percentiles(r.lookup),
		Hold:            percentiles(r.hold),
	}
}

func percentiles(h *hdrhistogram.Histogram) []Percentile {
	if h.TotalCount() == 0 {
		return []Percentile{}
	}
	points := make([]Percentile, 0, len(percentilePoints))
	for _, p := range percentilePoints {
		points = append(points, Percentile{Percent: p, MS: float64(h.ValueAtPercentile(p)) / 1000})
	}
	return points
}

// ValueAt returns the latency in milliseconds at a percentile, or 0 if points does not
// contain it.
func ValueAt(points []Percentile, percent float64) float64 {
	for _, p := range points {
		if p.Percent == percent {
			return p.MS
		}
	}
	return 0
}
