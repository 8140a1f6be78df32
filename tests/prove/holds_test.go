package prove

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"corianderhitch/tests/harness"
)

// holdTraffic sends seat holds, calls that may run at most once, until it is stopped.
// Several senders send every key at the same time, each to another gateway.
type holdTraffic struct {
	c       *cluster
	prefix  string
	senders int // number of senders
	stop    chan struct{}
	wg      sync.WaitGroup
	begin   time.Time

	mu       sync.Mutex
	outcomes []callOutcome
	inFlight map[int]map[string]time.Time // start of each call in flight, by gateway and by sender and key
	keys     int                          // number of keys sent
}

const (
	// holdInterval is the interval between the calls of one sender.
	holdInterval = 40 * time.Millisecond
	// blockedAfter is how long a call is in flight before it counts as blocked.
	blockedAfter = 250 * time.Millisecond
)

func (c *cluster) startHolds(t *testing.T, prefix string, senders int) *holdTraffic {
	h := &holdTraffic{c: c, prefix: prefix, senders: senders, stop: make(chan struct{}), begin: time.Now(),
		inFlight: make(map[int]map[string]time.Time)}
	for s := range senders {
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			h.send(t, s)
		}()
	}
	return h
}

func (h *holdTraffic) send(t *testing.T, sender int) {
	ticker := time.NewTicker(holdInterval)
	defer ticker.Stop()
	for k := 0; ; k++ {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
		}
		gateway := (k + sender) % len(h.c.hosts)
		key := fmt.Sprintf("%s-%d", h.prefix, k)
		h.recordStart(sender, gateway, key)
		begin := time.Since(h.begin)
		answer, err := h.c.hold(t, gateway, key)
		h.recordEnd(sender, gateway, callOutcome{key: key, answer: answer, err: err, sender: sender, begin: begin, end: time.Since(h.begin)}, k)
	}
}

func (h *holdTraffic) recordStart(sender, gateway int, key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[gateway] == nil {
		h.inFlight[gateway] = make(map[string]time.Time)
	}
	h.inFlight[gateway][fmt.Sprint(sender, key)] = time.Now()
}

func (h *holdTraffic) recordEnd(sender, gateway int, outcome callOutcome, k int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight[gateway], fmt.Sprint(sender, outcome.key))
	h.outcomes = append(h.outcomes, outcome)
	h.keys = max(h.keys, k+1)
}

// awaitCalls waits until n calls have ended.
func (h *holdTraffic) awaitCalls(t *testing.T, n int) {
	t.Helper()
	harness.Await(t, callTimeout, fmt.Sprintf("%d calls", n), func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.outcomes) >= n
	})
}

// awaitBlocked waits until a call counts as blocked and returns its gateway.
func (h *holdTraffic) awaitBlocked(t *testing.T) int {
	t.Helper()
	blocked := 0
	harness.Await(t, callTimeout, "a blocked call", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for gateway, calls := range h.inFlight {
			for _, since := range calls {
				if time.Since(since) > blockedAfter {
					blocked = gateway
					return true
				}
			}
		}
		return false
	})
	return blocked
}

// finish stops the senders and returns the outcomes of all calls and the number of
// keys.
func (h *holdTraffic) finish() ([]callOutcome, int) {
	close(h.stop)
	h.wg.Wait()
	return h.outcomes, h.keys
}
