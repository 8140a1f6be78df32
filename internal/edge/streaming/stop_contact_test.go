package streaming

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
)

// keepTalking makes the engine of a key answer other requests of the host until the test ends or until has passed.
func keepTalking(t *testing.T, r *Run, key string, until time.Duration) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	ended := time.Now().Add(until)
	go func() {
		for t.Context().Err() == nil && time.Now().Before(ended) {
			request := &targetconn.Request{Method: http.MethodGet, URI: "/", Host: "e", Use: targetnotice.Probe}
			if response, err := r.server.Sender.Pool.Do(t.Context(), key, strings.TrimPrefix(server.URL, "http://"), request); err == nil {
				response.Discard()
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

// Guards against taking an engine for gone that leaves calls to stop a run unanswered while it answers other requests of
// the host: another engine then works on the run beside it.
func TestEngineThatLeavesStopsUnansweredIsAtWork(t *testing.T) {
	for name, calls := range map[string][]engineCall{
		"two of them":                  times(2, noAnswer, copied),
		"as many as fit into a second": times(10, noAnswer, copied),
		"others are reset":             {noAnswer, brokenCall, noAnswer, brokenCall, noAnswer, copied},
		"others are not connected":     {noAnswer, notSent, notSent, noAnswer, copied},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dest := startHolder(t, "d", false)
			engines := &workingEngines{calls: map[string][]engineCall{"s": calls}}
			r, _, ended := handover(t, engines, dest.target)
			keepTalking(t, r, ended.target.Key(), time.Minute)
			next, reason := r.nextSegment(t.Context(), ended, io.ErrUnexpectedEOF)
			require.NotNil(t, next, reason)
			requireStopped(t, engines, "s", <-dest.begun)
		})
	}
}

// Guards against streams that wait for an engine that has gone dark: bytes that it sent before are no sign of work.
func TestEngineThatFallsSilentDoesNotHoldItsRunsUp(t *testing.T) {
	for name, part := range map[string]struct{ talks, most time.Duration }{
		"before the stream breaks off": {0, stopTimeout + 200*time.Millisecond},
		"shortly after it":             {300 * time.Millisecond, 300*time.Millisecond + stopTimeout + 200*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dest := startHolder(t, "d", false)
			engines := &workingEngines{calls: map[string][]engineCall{"s": {noAnswer}}}
			r, _, ended := handover(t, engines, dest.target)
			keepTalking(t, r, ended.target.Key(), part.talks+40*time.Millisecond)
			if part.talks == 0 {
				time.Sleep(60 * time.Millisecond)
			}
			started := time.Now()
			next, reason := r.nextSegment(t.Context(), ended, io.ErrUnexpectedEOF)
			require.NotNil(t, next, reason)
			require.Less(t, time.Since(started), part.most)
			require.GreaterOrEqual(t, time.Since(started), part.talks)
		})
	}
}

// Guards against runs that wait for seconds, with all that they hold, for an engine that sends to others and gives no
// valid answer to any call.
func TestEngineWithoutValidAnswersIsNotAwaited(t *testing.T) {
	t.Parallel()
	dest := startHolder(t, "d", false)
	invalid := engineCall{result: edge.MoveUnknown, err: targetconn.ErrInvalidResponse}
	r, _, ended := handover(t, &workingEngines{calls: map[string][]engineCall{"s": {invalid}}}, dest.target)
	keepTalking(t, r, ended.target.Key(), time.Minute)
	started := time.Now()
	next, reason := r.nextSegment(t.Context(), ended, io.ErrUnexpectedEOF)
	require.NotNil(t, next, reason)
	require.Less(t, time.Since(started), stopTimeout+200*time.Millisecond)
}
