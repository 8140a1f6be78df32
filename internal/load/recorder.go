package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"corianderhitch/internal/experiment"
)

const (
	// minLatencyMicros and maxLatencyMicros are the range of the histograms.
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits bounds the relative error of recorded latencies to 0.1%.
	significantDigits = 3
	// stallThreshold is the gap between tokens above which the caller is stalled. It equals
	// the threshold of the experiments.
	stallThreshold = time.Duration(experiment.StallThresholdMS * float64(time.Millisecond))
)

// Recorder aggregates the outcomes of a run. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	offered    int
	completed  int
	rejected   map[string]int // count by problem kind
	failed     map[string]int // count by cause
	tokens     int64
	violations []string
	stallTime  time.Duration
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	lookup     *hdrhistogram.Histogram
	hold       *hdrhistogram.Histogram
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		rejected:   make(map[string]int),
		failed:     make(map[string]int),
		firstToken: newHistogram(),
		interToken: newHistogram(),
		lookup:     newHistogram(),
		hold:       newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// Outcome is the end of one request as its caller saw it. RejectionKind and
// FailureCause are empty if the request completed.
type Outcome struct {
	Arrival       Arrival
	Tokens        int
	FirstResponse time.Duration   // time from sending to the first token, or to the whole response of a service call
	TokenGaps     []time.Duration // times between consecutive tokens
	RejectionKind string          // problem kind of a rejection; the request did not run
	FailureCause  string          // cause of any other unsuccessful end
	Violation     string          // violated invariant of the stream: offset gap, duplicate offset, mixed generations
}

// RecordOffered counts a request that is about to be sent.
func (r *Recorder) RecordOffered() {
	r.mu.Lock()
	r.offered++
	r.mu.Unlock()
}

// RecordOutcome adds the outcome of a request.
func (r *Recorder) RecordOutcome(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens += int64(o.Tokens)
	if o.Violation != "" {
		r.violations = append(r.violations, o.Arrival.ID+": "+o.Violation)
	}
	r.recordTokenGaps(o)
	switch {
	case o.RejectionKind != "":
		r.rejected[o.RejectionKind]++
		return
	case o.FailureCause != "":
		r.failed[o.FailureCause]++
		return
	}
	r.completed++
	_ = r.histogram(o.Arrival.Kind).RecordValue(o.FirstResponse.Microseconds())
}

func (r *Recorder) recordTokenGaps(o Outcome) {
	for _, gap := range o.TokenGaps {
		_ = r.interToken.RecordValue(max(minLatencyMicros, gap.Microseconds()))
		if gap > stallThreshold {
			r.stallTime += gap - stallThreshold
		}
	}
}

func (r *Recorder) histogram(kind Kind) *hdrhistogram.Histogram {
	switch kind {
	case KindLookup:
		return r.lookup
	case KindHold:
		return r.hold
	default:
		return r.firstToken
	}
}
