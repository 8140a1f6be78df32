package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of recorded times, a microsecond to ten minutes, and their precision.
const (
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 3 // decimal digits
)

// metrics collects the measurements of one run.
type metrics struct {
	windowEnd          time.Time
	firstToken         *hdrhistogram.Histogram // microseconds
	tokenGaps          *hdrhistogram.Histogram // microseconds between tokens of an answer
	lookupTimes        *hdrhistogram.Histogram // microseconds
	stall              time.Duration
	duplicatedTokens   int
	tokensDecodedAgain int
	tokensReadAgain    int
	preemptions        int64
	windowTokens       float64            // tokens received in the arrival window
	requestedTokens    map[string]float64 // by account, all arrivals
	receivedTokens     map[string]float64 // by account, in the arrival window
	pauses             pauseLog
	interrupted        int // generations that lost their engine or were on a stalled link
}

func newMetrics(windowEnd time.Time) *metrics {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &metrics{
		windowEnd: windowEnd, firstToken: histogram(), tokenGaps: histogram(), lookupTimes: histogram(),
		requestedTokens: make(map[string]float64), receivedTokens: make(map[string]float64),
	}
}

// recordToken records that a caller receives the token at an offset.
func (m *metrics) recordToken(c *call, offset int, at time.Time) {
	if offset != c.next {
		m.duplicatedTokens++
		return
	}
	c.next++
	if offset < c.delivered {
		m.tokensDecodedAgain++
		return
	}
	c.delivered++
	if !at.After(m.windowEnd) {
		m.windowTokens++
		m.receivedTokens[c.arrival.Account.Name]++
	}
	if offset == 0 {
		c.firstTokenAt = at
	} else {
		gap := at.Sub(c.lastTokenAt)
		record(m.tokenGaps, gap)
		m.stall += max(0, gap-milliseconds(StallThresholdMS))
	}
	c.lastTokenAt = at
}

// recordCompletion records a call whose caller has received the whole answer.
func (m *metrics) recordCompletion(c *call, submitted time.Time) {
	record(m.firstToken, c.firstTokenAt.Sub(submitted))
	if c.arrival.Class.Lookup && !c.arrival.Account.Large {
		record(m.lookupTimes, c.lastTokenAt.Sub(submitted))
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxMicros, max(minMicros, d.Microseconds())))
}

func percentileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

// accountShares returns the requested and received tokens in the order of the accounts.
func (m *metrics) accountShares(s *Scenario) []accountShare {
	var list []accountShare
	for _, a := range s.Accounts {
		weight := a.Weight
		if weight <= 0 {
			weight = 1
		}
		list = append(list, accountShare{requested: m.requestedTokens[a.Name], received: m.receivedTokens[a.Name], weight: weight})
	}
	return slices.Clip(list)
}
