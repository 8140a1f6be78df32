package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of recorded times: a microsecond to ten minutes.
const (
	leastMicros  = 1
	mostMicros   = 600_000_000
	significance = 3 // decimal digits
)

// metrics collects the figures of one run.
type metrics struct {
	windowEnd   time.Time
	firstToken  *hdrhistogram.Histogram // microseconds
	gaps        *hdrhistogram.Histogram
	lookups     *hdrhistogram.Histogram
	stall       time.Duration
	duplicates  int
	preemptions int64
	inWindow    float64 // tokens
	asked       map[string]float64
	got         map[string]float64
	interrupted int // generations that lost their engine, or were on a stalled link
}

func newMetrics(windowEnd time.Time) *metrics {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(leastMicros, mostMicros, significance) }
	return &metrics{
		windowEnd: windowEnd, firstToken: histogram(), gaps: histogram(), lookups: histogram(),
		asked: make(map[string]float64), got: make(map[string]float64),
	}
}

// token records that a caller received the token at the offset.
func (m *metrics) token(c *call, offset int, at time.Time) {
	if offset != c.delivered {
		m.duplicates++
		return
	}
	c.delivered++
	if !at.After(m.windowEnd) {
		m.inWindow++
		m.got[c.arrival.Account.Name]++
	}
	if offset == 0 {
		c.firstAt = at
	} else {
		gap := at.Sub(c.lastAt)
		record(m.gaps, gap)
		m.stall += max(0, gap-milliseconds(StallThresholdMS))
	}
	c.lastAt = at
}

// completed records a call whose caller has the whole answer.
func (m *metrics) completed(c *call, submitted time.Time) {
	record(m.firstToken, c.firstAt.Sub(submitted))
	if c.arrival.Class.Lookup && !c.arrival.Account.Large {
		record(m.lookups, c.lastAt.Sub(submitted))
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(mostMicros, max(leastMicros, d.Microseconds())))
}

func percentileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

// shares returns the accounts' parts in a stable order.
func (m *metrics) shares(s *Scenario) []share {
	var list []share
	for _, a := range s.Accounts {
		weight := a.Weight
		if weight <= 0 {
			weight = 1
		}
		list = append(list, share{asked: m.asked[a.Name], got: m.got[a.Name], weight: weight})
	}
	return slices.Clip(list)
}
