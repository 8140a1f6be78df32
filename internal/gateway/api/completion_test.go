package api

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/completion"
	"corianderhitch/api/control"
	"corianderhitch/api/problem"
)

const streamBody = `{"model":"writer","prompt":"p","stream":true}`

// streamResult is what a caller has read of a stream.
type streamResult struct {
	text    string
	offsets []int
	lastID  string
	done    bool
	failure *problem.Document
}

// readStream reads up to maxTokens tokens of a stream, or all if maxTokens is 0.
func readStream(t *testing.T, resp *http.Response, maxTokens int) streamResult {
	t.Helper()
	var s streamResult
	lines := bufio.NewScanner(resp.Body)
	event := ""
	for (maxTokens == 0 || len(s.offsets) < maxTokens) && lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			s.lastID = value
		case name == "event":
			event = value
		case name == "data" && value == "[DONE]":
			s.done = true
		case name == "data" && event == "error":
			s.failure = &problem.Document{}
			require.NoError(t, json.Unmarshal([]byte(value), s.failure))
		case name == "data":
			var chunk completion.Chunk
			require.NoError(t, json.Unmarshal([]byte(value), &chunk))
			if chunk.Choices[0].FinishReason == "" {
				s.offsets = append(s.offsets, chunk.Offset)
				s.text += chunk.Choices[0].Text
			}
		}
	}
	return s
}

func problemOf(t *testing.T, resp *http.Response) problem.Document {
	t.Helper()
	require.Equal(t, problem.ContentType, resp.Header.Get("Content-Type"))
	var d problem.Document
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(body, &d), string(body))
	require.NotEmpty(t, d.Remedy)
	return d
}

// requireComplete checks that the stream ended without a failure and carried each token
// of [from, to) once and in order.
func (s streamResult) requireComplete(t *testing.T, from, to int) {
	t.Helper()
	require.True(t, s.done)
	require.Nil(t, s.failure)
	require.Len(t, s.offsets, to-from)
	for i, offset := range s.offsets {
		require.Equal(t, from+i, offset)
	}
}

func TestInvalidRequestsAreRejectedAsNotRun(t *testing.T) {
	g := newTestGateway(t)
	deep := `{"model":"writer","prompt":` + strings.Repeat("[", 100000) + `}`
	cases := []struct {
		name, key, body string
		status          int
		kind            problem.Kind
	}{
		{"no key", "", streamBody, 401, problem.KindUnauthenticated},
		{"unknown key", "nobody", streamBody, 401, problem.KindUnauthenticated},
		{"no JSON", bookingKey, "{", 400, problem.KindBadRequest},
		{"empty", bookingKey, "", 400, problem.KindBadRequest},
		{"deep", bookingKey, deep[:60000], 400, problem.KindBadRequest},
		{"unknown field", bookingKey, `{"model":"writer","prompt":"p","promt":""}`, 400, problem.KindBadRequest},
		{"trailing", bookingKey, streamBody + "{}", 400, problem.KindBadRequest},
		{"wrong type", bookingKey, `{"model":1}`, 400, problem.KindBadRequest},
		{"negative", bookingKey, `{"model":"writer","prompt":"p","max_tokens":-1}`, 400, problem.KindBadRequest},
		{"late stream", bookingKey, `{"model":"writer","prompt":"p","stream":true,"delivery":"late"}`, 400, problem.KindBadRequest},
		{"too large", bookingKey, `{"prompt":"` + strings.Repeat("x", 70<<10) + `"}`, 413, problem.KindTooLarge},
		{"unknown model", bookingKey, `{"model":"x","prompt":"p"}`, 404, problem.KindUnknownModel},
		{"no target", bookingKey, streamBody, 503, problem.KindNoTarget},
	}
	for _, c := range cases {
		resp := g.request(t, http.MethodPost, "/v1/completions", c.key, c.body)
		d := problemOf(t, resp)
		require.Equal(t, c.kind, d.Kind, c.name)
		require.Equal(t, c.status, resp.StatusCode, c.name)
		require.Equal(t, problem.RanNo, d.Ran, c.name)
	}
	resp := g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody, "Idempotency-Key", "a b")
	require.Equal(t, problem.KindBadRequest, problemOf(t, resp).Kind)
	resp = g.request(t, http.MethodPost, "/services/booking/holds", bookingKey, "{}")
	require.Equal(t, problem.KindBadRequest, problemOf(t, resp).Kind, "a non-idempotent call needs a key")
	resp = g.request(t, http.MethodPost, "/services/dispatch/x", bookingKey, "{}")
	require.Equal(t, problem.KindForbidden, problemOf(t, resp).Kind)
	resp = g.request(t, http.MethodGet, "/services/booking/../booking/free", bookingKey, "")
	require.Equal(t, problem.KindNotFound, problemOf(t, resp).Kind)
}

func TestSameKeyAttachesAndDifferentBodyIsRejected(t *testing.T) {
	e := newEngine(t, "one", 5)
	g := newTestGateway(t, e.address())
	first := readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody, "Idempotency-Key", "k"), 0)
	first.requireComplete(t, 0, 5)
	again := readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody, "Idempotency-Key", "k"), 0)
	require.Equal(t, first.text, again.text)
	require.Equal(t, 1, e.starts)
	resp := g.request(t, http.MethodPost, "/v1/completions", bookingKey, strings.Replace(streamBody, `"p"`, `"q"`, 1), "Idempotency-Key", "k")
	d := problemOf(t, resp)
	require.Equal(t, problem.KindKeyReused, d.Kind)
	require.Equal(t, problem.RanNo, d.Ran)
	other := readStream(t, g.request(t, http.MethodPost, "/v1/completions", otherKey, streamBody, "Idempotency-Key", "k"), 0)
	require.NotEqual(t, first.text, other.text, "each account has its own request ids")
}

func TestResumeByTokenAndByRequestID(t *testing.T) {
	e := newEngine(t, "one", 40)
	g := newTestGateway(t, e.address())
	partial := readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody, "Idempotency-Key", "k"), 10)
	get := func(key string, header ...string) *http.Response {
		return g.request(t, http.MethodGet, "/v1/completions/k", key, "", append(header, "Accept", "text/event-stream")...)
	}
	rest := readStream(t, get(bookingKey, "Last-Event-ID", partial.lastID), 0)
	rest.requireComplete(t, 10, 40)
	all := readStream(t, get(bookingKey), 0)
	all.requireComplete(t, 0, 40)
	require.Equal(t, all.text, partial.text+rest.text)
	require.Equal(t, problem.KindBadResumeToken, problemOf(t, get(otherKey, "Last-Event-ID", partial.lastID)).Kind)
	require.Equal(t, problem.KindBadResumeToken, problemOf(t, get(bookingKey, "Last-Event-ID", partial.lastID[1:])).Kind)
	require.Equal(t, problem.KindNotFound, problemOf(t, get(otherKey)).Kind, "another account must not see the request")
	resp := g.request(t, http.MethodGet, "/v1/completions/k", bookingKey, "")
	var whole completion.Response
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&whole))
	require.Equal(t, all.text, whole.Choices[0].Text)
}

func TestBrokenEngineConnectionIsResumedAtTheOffset(t *testing.T) {
	e := newEngine(t, "one", 40)
	var furthest atomic.Int32
	e.beforeToken = func(_ string, offset int) bool { // breaks the connection once before each 13th token
		return offset%13 != 12 || !furthest.CompareAndSwap(int32(offset/13), int32(offset/13+1))
	}
	g := newTestGateway(t, e.address())
	got := readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody), 0)
	got.requireComplete(t, 0, 40)
	require.Equal(t, 1, e.starts)
	require.EqualValues(t, 3, furthest.Load())
}

func TestFailoverFromEngineThatKeepsBreakingConnections(t *testing.T) {
	one, two := newEngine(t, "one", 30), newEngine(t, "two", 30)
	one.beforeToken = func(_ string, offset int) bool { return offset < 5 }
	g := newTestGateway(t, one.address(), two.address())
	got := readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody), 0)
	got.requireComplete(t, 0, 30)
	require.Contains(t, got.text, ":two:5 ")
}

func TestGenerationContinuesOnAnotherEngineUnderTheSameID(t *testing.T) {
	one, two := newEngine(t, "one", 30), newEngine(t, "two", 30)
	one.beforeToken = func(_ string, offset int) bool {
		if offset < 10 {
			return true
		}
		one.server.Listener.Close() // the engine is unreachable from now on
		return false
	}
	g := newTestGateway(t, one.address(), two.address())
	got := readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody), 0)
	got.requireComplete(t, 0, 30)
	require.Contains(t, got.text, ":one:9 ")
	require.Contains(t, got.text, ":two:10 ")
	require.NotContains(t, got.text, ":two:9 ")
}

// An engine that breaks the connection and is then unreachable counts as crashed even if
// it had not begun its response.
func TestConnectionLossBeforeResponseIsReportedAsCrash(t *testing.T) {
	one, two := newEngine(t, "one", 30), newEngine(t, "two", 30)
	one.onRequest = func(*http.Request) {
		one.server.Listener.Close() // the engine is unreachable from now on
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	g := newTestGateway(t, one.address(), two.address())
	got := readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody), 0)
	got.requireComplete(t, 0, 30)
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	require.NotEmpty(t, g.fleet.events)
	require.Equal(t, control.EventCrash, g.fleet.events[len(g.fleet.events)-1].Kind, "the pool's owner must learn that the request's engine crashed")
}

func TestCallerWithTokensIsToldToRepeatRequestThatCrashesEngines(t *testing.T) {
	var addresses []string
	for _, name := range []string{"one", "two", "three"} {
		e := newEngine(t, name, 30)
		e.beforeToken = func(_ string, offset int) bool {
			if offset < 10 {
				return true
			}
			e.server.Listener.Close() // the engine is unreachable from now on
			return false
		}
		addresses = append(addresses, e.address())
	}
	g := newTestGateway(t, addresses...)
	got := readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody), 0)
	require.Len(t, got.offsets, 10)
	require.NotNil(t, got.failure)
	require.Equal(t, problem.KindCrashSuspect, got.failure.Kind)
	require.Equal(t, problem.RanYes, got.failure.Ran)
}

// The second engine knows the generation, but with other tokens than those delivered.
// Its tokens must not be appended to the caller's stream.
func TestDivergedContinuationIsNotAppended(t *testing.T) {
	one, two := newEngine(t, "one", 30), newEngine(t, "two", 30)
	one.beforeToken = func(id string, offset int) bool {
		if offset < 10 {
			return true
		}
		two.mu.Lock() // another gateway has continued the generation from an earlier prefix of two tokens
		two.generations[id] = append(append([]string(nil), one.generations[id][:2]...), make([]string, 28)...)
		two.mu.Unlock()
		one.server.Listener.Close()
		return false
	}
	g := newTestGateway(t, one.address(), two.address())
	got := readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody), 0)
	require.False(t, got.done)
	require.Len(t, got.offsets, 10)
	require.Equal(t, problem.KindGenerationLost, got.failure.Kind)
	require.Equal(t, problem.RanYes, got.failure.Ran)
}

func TestRunningGenerationCanBeFetchedDuringStoreOutage(t *testing.T) {
	e := newEngine(t, "one", 5)
	g := newTestGateway(t, e.address())
	readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody, "Idempotency-Key", "store-down-1"), 0)
	require.Equal(t, http.StatusOK, g.request(t, http.MethodGet, "/v1/completions/store-down-1", bookingKey, "").StatusCode)
	resp := g.request(t, http.MethodGet, "/v1/completions/store-down-2", bookingKey, "")
	require.Equal(t, problem.KindStoreUnavailable, problemOf(t, resp).Kind)
}

func TestCancelReachesTheEngine(t *testing.T) {
	e := newEngine(t, "one", 5)
	g := newTestGateway(t, e.address())
	readStream(t, g.request(t, http.MethodPost, "/v1/completions", bookingKey, streamBody, "Idempotency-Key", "k"), 0)
	require.Equal(t, http.StatusNotFound, g.request(t, http.MethodDelete, "/v1/completions/k", otherKey, "").StatusCode)
	require.Empty(t, e.canceled)
	require.Equal(t, http.StatusNoContent, g.request(t, http.MethodDelete, "/v1/completions/k", bookingKey, "").StatusCode)
	require.Len(t, e.canceled, 1)
}

func FuzzRequestDecoder(f *testing.F) {
	f.Add([]byte(streamBody))
	f.Add([]byte(`{"model":"m","prompt":"\ud800","deadline_ms":1e3}`))
	f.Add([]byte(`[[[[[[[[[[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := decodeRequest(body)
		if err != nil {
			e := problem.From(err)
			require.Equal(t, problem.KindBadRequest, e.Kind)
			require.Equal(t, problem.RanNo, e.Ran)
			return
		}
		text, err := json.Marshal(request)
		require.NoError(t, err)
		again, err := decodeRequest(text)
		require.NoError(t, err)
		require.Equal(t, bodyHash(request), bodyHash(again))
	})
}
