package api

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silence is longer than the stall timeout and the reattachment that follows it.
const silence = 1800 * time.Millisecond

// silentEngine answers nothing for silence, to no request, from a token of the first
// attachment on.
func silentEngine(t *testing.T, length, at int) *scriptedEngine {
	e := newEngine(t, "one", length)
	var mu sync.Mutex
	var until time.Time // guarded by mu
	e.beforeToken = func(_ string, offset int) bool {
		mu.Lock()
		if until.IsZero() && offset == at {
			until = time.Now().Add(silence)
		}
		wait := time.Until(until)
		mu.Unlock()
		time.Sleep(wait)
		return true
	}
	e.onRequest = func(*http.Request) {
		mu.Lock()
		wait := time.Until(until)
		mu.Unlock()
		time.Sleep(wait)
	}
	return e
}

func TestSilentEngineIsKeptWhileNoOtherTakesItsStream(t *testing.T) {
	for name, at := range map[string]int{"before the first token": 0, "between tokens": 7} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := silentEngine(t, 20, at)
			g := newTestGateway(t, e.address())
			begin := time.Now()
			readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody), 0).requireComplete(t, 0, 20)
			require.GreaterOrEqual(t, time.Since(begin), silence)
			require.Empty(t, e.canceledGenerations())
		})
	}
}

func TestStreamOfSilentEngineMovesToAnother(t *testing.T) {
	e, other := silentEngine(t, 20, 7), newEngine(t, "two", 20)
	g := newTestGateway(t, e.address(), other.address())
	begin := time.Now()
	readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody), 0).requireComplete(t, 0, 20)
	require.Less(t, time.Since(begin), silence)
}

func (e *scriptedEngine) canceledGenerations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.canceled...)
}
