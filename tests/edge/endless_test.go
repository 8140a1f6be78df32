package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

const (
	// knownOutcomeTime is within which a request whose outcome is known must have ended.
	knownOutcomeTime = callerTimeout / 4
	// socketBytes is what the sockets of one connection may hold without being read.
	socketBytes = 8 << 20
	// headBytes and skippedBytes are the bounds of heads and of bodies that nobody wants.
	headBytes    = 64 << 10
	skippedBytes = 256 << 10
)

// startEndlessTarget starts and registers a target that never ends its answers.
func (f *fleet) startEndlessTarget(id, service string, answer standin.Endless) *standin.EndlessTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	target := standin.StartEndlessTarget(id, listener, answer)
	f.t.Cleanup(target.Close)
	f.register(id, service, target.Address(), "ready")
	return target
}

// requireBounded checks that the host has closed all answers of the target, and that it read at
// most the given number of bytes of each.
func requireBounded(t *testing.T, target *standin.EndlessTarget, bytesPerAnswer int64) {
	t.Helper()
	require.Eventually(t, func() bool { return target.Answering() == 0 }, waitTimeout, checkInterval, "an answer is still read")
	require.LessOrEqual(t, target.Written(), int64(target.Requests())*(bytesPerAnswer+socketBytes))
}

// answered is an answer with the time that it took.
type answered struct {
	answer
	took time.Duration
}

func sendAsyncTimed(r *http.Request) <-chan answered {
	out := make(chan answered, 1)
	startedAt := time.Now()
	go func() { out <- answered{send(r), time.Since(startedAt)} }()
	return out
}

// sendTimed sends a request and checks that it ends long before its deadline.
func sendTimed(t *testing.T, r *http.Request) answer {
	t.Helper()
	a := <-sendAsyncTimed(r)
	require.Less(t, a.took, knownOutcomeTime)
	return a.answer
}

func lookupRequest(t *testing.T, h *host, id string, events int) *http.Request {
	r := h.request(t.Context(), http.MethodPost, "lookup", id, []byte("prompt"))
	(&standin.Call{ID: id, APIKey: apiKey, Timeout: callerTimeout, Events: events}).SetHeaders(r)
	return r
}

// requirePlainCallsEnd starts a host with a sound target and one that gives the answer, sends it
// calls at once and checks that all end soon. Idempotent calls must be served by the sound target.
func requirePlainCallsEnd(t *testing.T, answer standin.Endless, bytesPerAnswer int64, wantOtherwise ...int) {
	const calls = 10
	f := newFleet(t)
	f.configure()
	f.startPlainTarget("d-1")
	endless := f.startEndlessTarget("d-9", plainService, answer)
	h := f.startHost()
	var checks, holds [calls]<-chan answered
	for i := range calls {
		checks[i] = sendAsyncTimed(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("c-%d", i), nil))
		holds[i] = sendAsyncTimed(h.request(t.Context(), http.MethodPost, "hold", fmt.Sprintf("h-%d", i), nil))
	}
	for i := range calls {
		check, hold := <-checks[i], <-holds[i]
		require.NoError(t, check.err)
		require.Equal(t, http.StatusOK, check.status)
		require.Less(t, check.took, knownOutcomeTime)
		require.NoError(t, hold.err)
		require.Contains(t, append([]int{http.StatusOK}, wantOtherwise...), hold.status)
		require.Less(t, hold.took, knownOutcomeTime)
	}
	require.Positive(t, endless.Requests(), "no call reached the target")
	requireBounded(t, endless, bytesPerAnswer)
}

func TestPlainCallsEndDespiteHeadsWithoutEnd(t *testing.T) {
	for name, answer := range standin.EndlessHeads {
		t.Run(name, func(t *testing.T) { requirePlainCallsEnd(t, answer, headBytes+skippedBytes, http.StatusBadGateway) })
	}
}

func TestStreamsEndDespiteHeadsWithoutEnd(t *testing.T) {
	for name, answer := range standin.EndlessHeads {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure()
			endless := f.startEndlessTarget("e-9", engineService, answer)
			h := f.startHost()
			a := sendTimed(t, generationRequest(t.Context(), h, "r-0", shortGeneration))
			require.Equal(t, http.StatusBadGateway, a.status)
			f.startEngine(standin.NewEngines(), "e-1")
			require.Eventually(t, func() bool { return logContains(h, `"target":"e-1"`) }, waitTimeout, checkInterval)
			for i := range 6 {
				id := fmt.Sprintf("r-%d", i+1)
				a := sendTimed(t, lookupRequest(t, h, id, shortGeneration))
				require.NoError(t, a.err)
				require.Equal(t, standin.StreamText(id, shortGeneration), a.body)
			}
			requireBounded(t, endless, headBytes+skippedBytes)
		})
	}
}
