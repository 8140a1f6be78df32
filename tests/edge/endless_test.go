package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

const (
	// knownOutcomeTime is within which a request whose outcome is known must have ended.
	knownOutcomeTime = callerTimeout / 4
	// socketBytes is what the sockets of one connection may hold without being read.
	socketBytes = 8 << 20
	// Bounds of what a host reads of heads, of responses to other requests, of rejections,
	// of plain answers, of failures of engines, and of one event.
	headBytes    = 64 << 10
	skippedBytes = 256 << 10
	discardBytes = 64 << 10
	plainBytes   = 8 << 20
	failedBytes  = 256 << 10
	eventBytes   = 256 << 10
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

const (
	// batchCalls is how many calls of each kind are sent at once.
	batchCalls = 10
	// maxBatches bounds the batches until one call has reached the target at fault.
	maxBatches = 20
)

// requirePlainCallsEnd starts a host with a sound target and one that gives the answer, sends it
// calls at once and checks that all end soon. Idempotent calls must be served by the sound target.
func requirePlainCallsEnd(t *testing.T, answer standin.Endless, bytesPerAnswer int64, wantOtherwise ...int) {
	f := newFleet(t)
	f.configure()
	f.startPlainTarget("d-1")
	endless := f.startEndlessTarget("d-9", plainService, answer)
	h := f.startHost()
	for batch := 0; batch == 0 || (endless.Requests() == 0 && batch < maxBatches); batch++ {
		requirePlainBatchEnds(t, h, batch, wantOtherwise)
	}
	require.Positive(t, endless.Requests(), "no call reached the target")
	requireBounded(t, endless, bytesPerAnswer)
}

// requirePlainBatchEnds sends calls at once. Lookups must be served by a sound target, holds
// answered by one or with a status of wantOtherwise.
func requirePlainBatchEnds(t *testing.T, h *host, batch int, wantOtherwise []int) {
	t.Helper()
	var checks, holds [batchCalls]<-chan answered
	for i := range batchCalls {
		checks[i] = sendAsyncTimed(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("c-%d-%d", batch, i), nil))
		holds[i] = sendAsyncTimed(h.request(t.Context(), http.MethodPost, "hold", fmt.Sprintf("h-%d-%d", batch, i), nil))
	}
	for i := range batchCalls {
		check, hold := <-checks[i], <-holds[i]
		require.NoError(t, check.err)
		require.Equal(t, http.StatusOK, check.status)
		require.Less(t, check.took, knownOutcomeTime)
		require.NoError(t, hold.err)
		require.Contains(t, append([]int{http.StatusOK}, wantOtherwise...), hold.status)
		require.Less(t, hold.took, knownOutcomeTime)
	}
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

// trickle returns an answer that goes on slowly.
func trickle(b standin.EndlessBody, status int, headerLines string) standin.Endless {
	answer := b.With(status, headerLines, "x")
	answer.Interval = 20 * time.Millisecond
	return answer
}

// The head states that the target did not run the call; what follows changes nothing.
func TestRejectedPlainCallsEndDespiteBodiesWithoutEnd(t *testing.T) {
	for name, body := range standin.EndlessBodies {
		t.Run(name, func(t *testing.T) {
			answer := body.With(http.StatusServiceUnavailable, standin.NotExecutedLine, standin.Filler())
			requirePlainCallsEnd(t, answer, headBytes+discardBytes, http.StatusServiceUnavailable)
		})
		t.Run(name+", slow", func(t *testing.T) {
			answer := trickle(body, http.StatusServiceUnavailable, standin.NotExecutedLine)
			requirePlainCallsEnd(t, answer, headBytes+discardBytes, http.StatusServiceUnavailable)
		})
	}
}

func TestPlainCallsEndDespiteBodiesWithoutEnd(t *testing.T) {
	for name, body := range standin.EndlessBodies {
		t.Run(name, func(t *testing.T) {
			requirePlainCallsEnd(t, body.With(http.StatusOK, standin.SignedLine, standin.Filler()), plainBytes, http.StatusBadGateway)
		})
		t.Run(name+", failure", func(t *testing.T) {
			requirePlainCallsEnd(t, body.With(http.StatusInternalServerError, standin.SignedLine, standin.Filler()), plainBytes, http.StatusBadGateway)
		})
		t.Run(name+", unsigned and slow", func(t *testing.T) {
			requirePlainCallsEnd(t, trickle(body, http.StatusOK, ""), headBytes+discardBytes, http.StatusBadGateway)
		})
	}
}

// requireStreamsEnd starts a host with an engine that gives the answer and checks that it gives
// a stream that may not run again the status, and that another engine serves those that may.
func requireStreamsEnd(t *testing.T, answer standin.Endless, status int, bytesPerAnswer int64) {
	f := newFleet(t)
	f.configure()
	endless := f.startEndlessTarget("e-9", engineService, answer)
	h := f.startHost()
	a := sendTimed(t, generationRequest(t.Context(), h, "r-0", shortGeneration))
	require.NoError(t, a.err)
	require.Equal(t, status, a.status)
	require.Empty(t, a.header.Get(headers.Signature), "the answer is not the engine's")
	f.startEngine(standin.NewEngines(), "e-1")
	require.Eventually(t, func() bool { return logContains(h, `"target":"e-1"`) }, waitTimeout, checkInterval)
	for i := range 6 {
		id := fmt.Sprintf("r-%d", i+1)
		a := sendTimed(t, lookupRequest(t, h, id, shortGeneration))
		require.NoError(t, a.err)
		require.Equal(t, standin.StreamText(id, shortGeneration), a.body)
	}
	requireBounded(t, endless, bytesPerAnswer)
}

func TestRejectedStreamsEndDespiteBodiesWithoutEnd(t *testing.T) {
	for name, body := range standin.EndlessBodies {
		t.Run(name, func(t *testing.T) {
			answer := body.With(http.StatusServiceUnavailable, standin.NotExecutedLine, standin.Filler())
			requireStreamsEnd(t, answer, http.StatusServiceUnavailable, headBytes+discardBytes)
		})
		t.Run(name+", slow", func(t *testing.T) {
			requireStreamsEnd(t, trickle(body, http.StatusServiceUnavailable, standin.NotExecutedLine), http.StatusServiceUnavailable, headBytes+discardBytes)
		})
	}
}

// A failure whose body exceeds the bound was passed on, cut short, as if it were the engine's.
func TestFailureOfEngineWithoutEndIsNotPassedOn(t *testing.T) {
	for name, body := range standin.EndlessBodies {
		t.Run(name, func(t *testing.T) {
			answer := body.With(http.StatusInternalServerError, standin.SignedLine, standin.Filler())
			requireStreamsEnd(t, answer, http.StatusBadGateway, headBytes+failedBytes)
		})
	}
}

// The caller is served by another engine as soon as the failure is known, not when it is complete.
func TestStreamIsSentAgainDespiteFailureWithoutEnd(t *testing.T) {
	for name, body := range standin.EndlessBodies {
		t.Run(name, func(t *testing.T) {
			const streams = 8
			f := newFleet(t)
			f.configure()
			f.startEngine(standin.NewEngines(), "e-1")
			endless := f.startEndlessTarget("e-9", engineService, trickle(body, http.StatusInternalServerError, standin.SignedLine))
			h := f.startHost()
			var pending [streams]<-chan answered
			for i := range streams {
				pending[i] = sendAsyncTimed(lookupRequest(t, h, fmt.Sprintf("r-%d", i), shortGeneration))
			}
			for i := range streams {
				a := <-pending[i]
				require.NoError(t, a.err)
				require.Equal(t, standin.StreamText(fmt.Sprintf("r-%d", i), shortGeneration), a.body)
				require.Less(t, a.took, knownOutcomeTime)
			}
			require.Positive(t, endless.Requests(), "no stream reached the engine")
			requireBounded(t, endless, headBytes+failedBytes)
		})
	}
}

// The engine has the signature and the status of a stream, but no event of the run ever follows.
func TestStreamsEndDespiteBodiesWithoutEvents(t *testing.T) {
	for name, content := range map[string]string{"no event": standin.Filler(), "event of a run's start": "id: 0\ndata: x\n\n", "event far ahead": "id: 9\ndata: x\n\n"} {
		for framing, body := range standin.EndlessBodies {
			t.Run(name+", "+framing, func(t *testing.T) {
				requireStreamsEnd(t, body.With(http.StatusOK, standin.SignedLine, content), http.StatusBadGateway, headBytes+eventBytes)
			})
		}
	}
}

// A target in trouble may go on to serve other requests, on its other connections.
func TestSoundAnswersOfTargetAreServedBesideOnesWithoutEnd(t *testing.T) {
	const calls = 10
	answers := map[string]standin.Endless{}
	for name, answer := range standin.EndlessHeads {
		answers["head: "+name] = answer
	}
	for name, body := range standin.EndlessBodies {
		answers["body: "+name] = body.With(http.StatusOK, standin.SignedLine, standin.Filler())
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			_, h, targets := startPlainFleet(t, 1)
			targets[0].SetHandler(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.Header.Get(headers.RequestID), "endless") {
					answer.ServeHTTP(w, r)
					return
				}
				standin.Succeed(w, r)
			})
			var endless, sound [calls]<-chan answered
			for i := range calls {
				endless[i] = sendAsyncTimed(h.request(t.Context(), http.MethodPost, "hold", fmt.Sprintf("endless-%d", i), nil))
				sound[i] = sendAsyncTimed(h.request(t.Context(), http.MethodPost, "hold", fmt.Sprintf("r-%d", i), nil))
			}
			for i := range calls {
				a := <-sound[i]
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
				require.Equal(t, fmt.Sprintf("done r-%d", i), a.body)
				require.Less(t, a.took, knownOutcomeTime)
				a = <-endless[i]
				require.NoError(t, a.err)
				require.Equal(t, http.StatusBadGateway, a.status)
				require.Less(t, a.took, knownOutcomeTime)
			}
		})
	}
}

// Events without ids are passed on and not kept. Only the deadline can end them.
func TestEventsWithoutIDsEndAtTheDeadline(t *testing.T) {
	for name, body := range standin.EndlessBodies {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure()
			f.startPlainTarget("d-1")
			endless := f.startEndlessTarget("e-9", engineService, body.With(http.StatusOK, standin.SignedLine, "data: x\n\n"))
			h := f.startHost()
			r := generationRequest(t.Context(), h, "r-0", shortGeneration)
			standin.SetDeadline(r, time.Second)
			stream := sendAsyncTimed(r)
			for i := range 20 {
				a := sendTimed(t, h.request(t.Context(), http.MethodPost, "hold", fmt.Sprintf("h-%d", i), nil))
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
			}
			a := <-stream
			require.Error(t, a.err, "the stream must not look complete")
			require.Less(t, a.took, knownOutcomeTime)
			require.Eventually(t, func() bool { return endless.Answering() == 0 }, waitTimeout, checkInterval)
		})
	}
}
