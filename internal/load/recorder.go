package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"corianderhitch/internal/experiment"
)

const (
	// lowestValue and highestValue bound the histograms, in microseconds.
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits keeps percentiles exact to a thousandth.
	significantDigits = 3
	// stallBound is the gap, as in the experiment, between tokens from which a caller sees a stall.
	stallThreshold = time.Duration(experiment.StallThresholdMS * float64(time.Millisecond))
)

// Recorder collects what callers see. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	offered    int
	completed  int
	rejected   map[string]int // by problem kind
	failed     map[string]int // by cause
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

// Outcome is how one request ended, as its caller saw it.
type Outcome struct {
	Arrival       Arrival
	Tokens        int
	FirstResponse time.Duration   // from send to first token or whole answer
	TokenGaps     []time.Duration // between tokens
	RejectionKind string          // problem kind of a refusal before running
	FailureCause  string          // cause of any other end
	Violation     string          // a violated invariant: gap, duplicate, splice
}

// Offer counts a request that is sent.
func (r *Recorder) RecordOffered() {
	r.mu.Lock()
	r.offered++
	r.mu.Unlock()
}

// Record takes the outcome of a request.
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
