package forwarding

import (
	"math/rand/v2"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetconn"
)

const (
	// maxHelpers is how many helpers are asked for one request.
	maxHelpers = 4
	// provenFor is how long a helper that has sent a request is preferred.
	provenFor = 10 * time.Second
	// maxRemembered bounds the memory for hosts that no longer exist.
	maxRemembered = 4096
)

// passedOver is for how long a helper is not asked again after an outcome.
var passedOver = map[targetconn.ForwardOutcome]time.Duration{
	targetconn.ForwardBusy:        500 * time.Millisecond,
	targetconn.ForwardCutOff:      2 * time.Second,
	targetconn.ForwardUnreachable: 2 * time.Second,
	targetconn.ForwardStopping:    2 * time.Second, // the next process has the same address
}

// Helpers chooses the hosts that are asked to send requests. It prefers those that have lately
// done so, at random, so that their load is even, and learns from refusals which can't help. It is
// safe for concurrent use.
type Helpers struct {
	mu      sync.Mutex
	records map[string]helper // guarded by mu; by address
}

// helper is what is known of one host.
type helper struct {
	provenAt    bootclock.Instant // when it last sent a request; 0 for never
	passedUntil bootclock.Instant // until when it is not asked
}

// NewHelpers returns the helpers of a host that has asked none yet.
func NewHelpers() *Helpers { return &Helpers{records: make(map[string]helper)} }

// Choose returns at most maxHelpers of the addresses, in the order in which they are to be asked,
// and how many of them have lately proven themselves.
func (h *Helpers) Choose(addresses []string, now bootclock.Instant) (chosen []string, provenCount int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var proven, others []string
	for _, address := range addresses {
		switch r := h.records[address]; {
		case now < r.passedUntil:
		case r.provenAt != 0 && now.Sub(r.provenAt) < provenFor:
			proven = append(proven, address)
		default:
			others = append(others, address)
		}
	}
	shuffle := func(s []string) { rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] }) }
	shuffle(proven)
	shuffle(others)
	chosen = append(proven, others...)
	return chosen[:min(maxHelpers, len(chosen))], min(maxHelpers, len(proven))
}

// Observe records how a helper answered.
func (h *Helpers) Observe(address string, outcome targetconn.ForwardOutcome, now bootclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.records) >= maxRemembered {
		clear(h.records)
	}
	r := h.records[address]
	if pause, refused := passedOver[outcome]; refused {
		r = helper{passedUntil: now.Add(pause)}
	} else if outcome == targetconn.ForwardAnswered {
		r = helper{provenAt: now}
	}
	h.records[address] = r
}
