package prove

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"corianderhitch/tests/harness"
)

// holdTraffic sends seat holds until it is stopped. Every key is sent by several
// senders at once, each to another gateway.
type holdTraffic struct {
	c       *cluster
	prefix  string
	senders int
	stop    chan struct{}
	open    sync.WaitGroup
	begin   time.Time

	mu       sync.Mutex
	outcomes []callOutcome
	inFlight map[int]map[string]time.Time // start of each open call by gateway
	keys     int
}

const (
	// holdPause separates the calls of one sender.
	holdPause = 40 * time.Millisecond
	// blockedFor is how long a call is open before it counts as blocked.
	blockedFor = 250 * time.Millisecond
)

func (c *cluster) startHolds(t *testing.T, prefix string, senders int) *holdTraffic {
	h := &holdTraffic{c: c, prefix: prefix, senders: senders, stop: make(chan struct{}), begin: time.Now(),
		inFlight: make(map[int]map[string]time.Time)}
	for s := range senders {
		h.open.Add(1)
		go func() {
			defer h.open.Done()
			h.send(t, s)
		}()
	}
	return h
}

func (h *holdTraffic) send(t *testing.T, sender int) {
	ticker := time.NewTicker(holdPause)
	defer ticker.Stop()
	for k := 0; ; k++ {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
		}
		gateway := (k + sender) % len(h.c.hosts)
		key := fmt.Sprintf("%s-%d", h.prefix, k)
		h.note(sender, gateway, key)
		begin := time.Since(h.begin)
		answer, err := h.c.hold(t, gateway, key)
		h.done(sender, gateway, callOutcome{key: key, answer: answer, err: err, sender: sender, begin: begin, end: time.Since(h.begin)}, k)
	}
}

func (h *holdTraffic) note(sender, gateway int, key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[gateway] == nil {
		h.inFlight[gateway] = make(map[string]time.Time)
	}
	h.inFlight[gateway][fmt.Sprint(sender, key)] = time.Now()
}

func (h *holdTraffic) done(sender, gateway int, outcome callOutcome, k int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight[gateway], fmt.Sprint(sender, outcome.key))
	h.outcomes = append(h.outcomes, outcome)
	h.keys = max(h.keys, k+1)
}

// awaitCalls waits until so many calls have been answered.
func (h *holdTraffic) awaitCalls(t *testing.T, n int) {
	t.Helper()
	harness.Await(t, callLimit, fmt.Sprintf("%d calls", n), func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.outcomes) >= n
	})
}

// awaitBlocked waits until a call does not come back and returns its gateway.
func (h *holdTraffic) awaitBlocked(t *testing.T) int {
	t.Helper()
	blocked := 0
	harness.Await(t, callLimit, "a blocked call", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for gateway, calls := range h.inFlight {
			for _, since := range calls {
				if time.Since(since) > blockedFor {
					blocked = gateway
					return true
				}
			}
		}
		return false
	})
	return blocked
}

// finish stops the senders and returns what they were told.
func (h *holdTraffic) finish() ([]callOutcome, int) {
	close(h.stop)
	h.open.Wait()
	return h.outcomes, h.keys
}
