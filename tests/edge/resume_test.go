package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

// resumableRequest builds a request of the resumable route. after is the id of the last
// event that the caller has, 0 for a new stream.
func resumableRequest(ctx context.Context, h *host, id string, events, after int) *http.Request {
	r := h.request(ctx, http.MethodPost, "lookup", id, []byte("prompt"))
	(&standin.Call{ID: id, APIKey: apiKey, Timeout: callerTimeout, Events: events, ResumeAfter: after}).SetHeaders(r)
	return r
}

// eventsFrom returns the events of a stream after one of them.
func eventsFrom(id string, events, after int) string {
	return strings.TrimPrefix(standin.StreamText(id, events), standin.StreamText(id, after))
}

// A caller whose connection broke resumes its stream. Without its Last-Event-Id the engine
// starts over, and the caller gets the first events a second time.
func TestCallerResumesStream(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 1)
	a := send(resumableRequest(t.Context(), h, "r-1", shortGeneration, 2))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, eventsFrom("r-1", shortGeneration, 2), a.body)
	require.Equal(t, []string{"r-1"}, engines[0].Restarted())
}

// The engine ignores the Last-Event-Id and sends all events.
func TestCallerGetsNoEventTwiceFromEngineThatRepeatsThem(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 1)
	engines[0].RepeatEvents()
	a := send(resumableRequest(t.Context(), h, "r-1", shortGeneration, 2))
	require.NoError(t, a.err)
	require.Equal(t, eventsFrom("r-1", shortGeneration, 2), a.body)
}

// The caller's connection broke after the last event but before the end of the stream. The
// resumed stream has no events, and is complete nevertheless.
func TestResumeAfterLastEventCompletes(t *testing.T) {
	t.Parallel()
	_, h, _ := startEngineFleet(t, 1)
	a := send(resumableRequest(t.Context(), h, "r-1", shortGeneration, shortGeneration))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Empty(t, a.body)
	require.Equal(t, "signed", a.header.Get(headers.Signature))
}

// An id that no stream can have is rejected, rather than answered with events that the
// caller may have.
func TestMalformedLastEventIDIsRejected(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 1)
	for _, id := range []string{"-1", "two", "1.5", "99999999999999999999", "9223372036854775807"} {
		r := resumableRequest(t.Context(), h, "r-1", shortGeneration, 0)
		standin.SetLastEvent(r, id)
		a := send(r)
		require.NoError(t, a.err)
		require.Equal(t, http.StatusBadRequest, a.status, id)
		require.Equal(t, "bad_last_event_id\n", a.body)
	}
	require.Empty(t, engines[0].Restarted())
	require.Empty(t, engines[0].Started())
}

// A Last-Event-Id has no meaning on routes that are not resumable.
func TestLastEventIDIsIgnoredOnOtherRoutes(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 1)
	r := generationRequest(t.Context(), h, "r-1", shortGeneration)
	standin.SetLastEvent(r, "2")
	a := send(r)
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", shortGeneration), a.body)
	require.Equal(t, []string{"r-1"}, engines[0].Started())
}

// The engine of a resumable stream fails without a replica of the run: it crashes, or its
// stream breaks off in the middle of an event, or it stops sending. The stream continues at
// another engine within the same response.
func TestResumableStreamContinuesAtAnotherEngine(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(*standin.Engine){
		"crash":            (*standin.Engine).Crash,
		"cut in an event":  func(e *standin.Engine) { e.CutWithinEvent(e.EventsProduced("r-1") + 5) },
		"frozen":           (*standin.Engine).Freeze,
		"streams are lost": (*standin.Engine).CloseStreams,
	} {
		t.Run(name, func(t *testing.T) {
			_, h, engines := startEngineFleet(t, 2)
			pending := sendAsync(resumableRequest(t.Context(), h, "r-1", longGeneration, 0))
			source, others := waitForBusyEngine(t, engines)
			require.Eventually(t, func() bool { return source.EventsProduced("r-1") >= 20 }, waitTimeout, checkInterval)
			fail(source)
			a := <-pending
			require.NoError(t, a.err)
			require.Equal(t, standin.StreamText("r-1", longGeneration), a.body)
			require.Equal(t, "signed", a.header.Get(headers.Signature))
			require.Equal(t, []string{"r-1"}, others[0].Restarted())
			require.Empty(t, others[0].Started())
			require.Zero(t, others[0].HeldCopies(), "a run that can be resumed needs no replica")
		})
	}
}

// A stream that a caller resumed is resumed again by the system.
func TestResumedStreamContinuesAtAnotherEngine(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 2)
	pending := sendAsync(resumableRequest(t.Context(), h, "r-1", longGeneration, 30))
	require.Eventually(t, func() bool { return max(engines[0].EventsProduced("r-1"), engines[1].EventsProduced("r-1")) >= 50 }, waitTimeout, checkInterval)
	for _, e := range engines {
		if e.EventsProduced("r-1") > 0 {
			e.Crash()
			break
		}
	}
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, eventsFrom("r-1", longGeneration, 30), a.body)
}

// Attempts count all engines that a request was sent to: with both used up, the stream
// breaks off, and must not look complete.
func TestResumesStayWithinMaxAttempts(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 3)
	pending := sendAsync(resumableRequest(t.Context(), h, "r-1", 4*longGeneration, 0))
	for range 2 {
		var busy *standin.Engine
		require.Eventually(t, func() bool {
			for _, e := range engines {
				if e.EventsProduced("r-1") >= 20 {
					busy = e
				}
			}
			return busy != nil
		}, waitTimeout, checkInterval)
		busy.CloseStreams()
		require.Eventually(t, func() bool { return busy.EventsProduced("r-1") == 0 }, waitTimeout, checkInterval)
	}
	a := <-pending
	require.Error(t, a.err)
	require.Equal(t, standin.StreamText("r-1", 4*longGeneration)[:len(a.body)], a.body)
	sends := 0
	for _, e := range engines {
		sends += len(e.Started()) + len(e.Restarted())
	}
	require.Equal(t, 2, sends)
}

// An engine takes a request of a resumable stream and loses its connection before it
// answers. The request may have run; since it may run again, it is sent to another engine.
func TestResumableStreamIsRetriedBeforeFirstEvent(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 2)
	for _, e := range engines {
		e.StopAnswering()
	}
	pending := sendAsync(resumableRequest(t.Context(), h, "r-1", shortGeneration, 0))
	require.Eventually(t, func() bool { return len(engines[0].Started())+len(engines[1].Started()) == 1 }, waitTimeout, checkInterval)
	source, other := engines[0], engines[1]
	if len(other.Started()) == 1 {
		source, other = other, source
	}
	other.AnswerAgain()
	source.Crash()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, standin.StreamText("r-1", shortGeneration), a.body)
}

// A resumable request that may have run is not rejected as "not run" when no other engine
// is left.
func TestResumableStreamThatMayHaveRunIsNotDenied(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 1)
	engines[0].StopAnswering()
	pending := sendAsync(resumableRequest(t.Context(), h, "r-1", shortGeneration, 0))
	require.Eventually(t, func() bool { return len(engines[0].Started()) == 1 }, waitTimeout, checkInterval)
	engines[0].Crash()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, http.StatusBadGateway, a.status)
}

// The run at the first engine is canceled when its caller leaves a resumed stream.
func TestResumedRunIsCanceledWhenCallerDisconnects(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	response, err := client().Do(resumableRequest(ctx, h, "r-1", 4000, 10))
	require.NoError(t, err)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	_ = response.Body.Close()
	require.Eventually(t, func() bool { return len(engines[0].Canceled()) == 1 }, 500*time.Millisecond, checkInterval)
}

// An engine accepts requests and stays silent, while the platform calls it healthy. When
// several runs show that it fails, those that may run again are sent to another engine long
// before their callers give up.
func TestResumableStreamsLeaveSilentEngine(t *testing.T) {
	t.Parallel()
	_, h, engines := startEngineFleet(t, 2)
	engines[0].StopAnswering()
	var pending []<-chan answer
	sent := time.Now()
	for i := range 8 {
		pending = append(pending, sendAsync(resumableRequest(t.Context(), h, fmt.Sprintf("r-%d", i), shortGeneration, 0)))
	}
	for i, p := range pending {
		a := <-p
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
		require.Equal(t, standin.StreamText(fmt.Sprintf("r-%d", i), shortGeneration), a.body)
	}
	require.Less(t, time.Since(sent), callerTimeout/2)
	require.NotEmpty(t, engines[0].Started(), "no run was sent to the silent engine")
}
