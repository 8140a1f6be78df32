package prove

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"
	"corianderhitch/tests/harness"
)

// attack is one attack by a hostile caller. run returns a summary.
type attack struct {
	name  string
	short bool
	run   func(t *testing.T, c *cluster) string
}

func attacks() []attack {
	return []attack{
		{name: "wrong key", short: true, run: attackWrongKey},
		{name: "other account's resume token", short: true, run: attackOtherToken},
		{name: "forged resume token", run: attackForgedToken},
		{name: "expired resume token", run: attackExpiredToken},
		{name: "other account's late answer", short: true, run: attackLateAnswer},
		{name: "other account's running stream", run: attackRunningStream},
		{name: "oversized body and header", short: true, run: attackOversized},
		{name: "malformed and deep JSON", run: attackMalformed},
		{name: "used key with another body", short: true, run: attackReusedKey},
		{name: "paths outside the document", run: attackPaths},
		{name: "callers that never finish their header", run: attackSlowHeader},
		{name: "callers that never read their stream", run: attackNoReader},
		{name: "flood of one account", run: attackFlood},
	}
}

// resumeTokenLifetime is short, so that a token expires during a test.
const resumeTokenLifetime = 4 * time.Second

// TestHostileCallers runs attacks by an account and by callers without one while
// streams of another account run. Those must complete, and every host must stay ready.
func TestHostileCallers(t *testing.T) {
	t.Parallel()
	t.Run("on one cluster", func(t *testing.T) {
		t.Parallel()
		defer acquireSlot()()
		c := startCluster(t, clusterSpec{hosts: 2, engines: 3, services: 1,
			gatewayArgs: []string{"--header-timeout", "1s", "--token-life", resumeTokenLifetime.String(), "--slow-caller-timeout", "2s"}})
		for _, tc := range attacks() {
			t.Run(tc.name, func(t *testing.T) { runAttack(t, c, tc) })
		}
	})
}

func runAttack(t *testing.T, c *cluster, tc attack) {
	if testing.Short() && !tc.short {
		t.Skip("not in the short form")
	}
	summary := ""
	recordResult(t, "hostile caller harms nobody", tc.name, &summary)
	spec := trafficSpec{streams: 6, tokens: 60, trigger: 6, idPrefix: validID("innocent-" + tc.name)}
	tr := startTraffic(c, spec)
	tr.awaitReached()
	summary = tc.run(t, c)
	tr.finish()
	tokens := tr.checkComplete(t, spec, "v1")
	for _, h := range c.hosts {
		require.Truef(t, getOK(h.opsURL+"/readyz"), "%s is ready", h.name)
	}
	summary += fmt.Sprintf("; %d innocent streams, %d tokens whole", spec.streams, tokens)
}

// sendRequest sends a request with pairs of header names and values, and returns the
// whole response. An empty key sends no Authorization header.
func sendRequest(t *testing.T, method, url, key, body string, headers ...string) plainAnswer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	answer, err := doRequest(request)
	require.NoError(t, err)
	return answer
}

// requireRejection requires a rejection of this status and kind that says that the
// request did not run and what to do.
func requireRejection(t *testing.T, answer plainAnswer, status int, kind problem.Kind) {
	t.Helper()
	require.Equal(t, status, answer.status, answer.body)
	require.NotNil(t, answer.failure, answer.body)
	require.Equal(t, kind, answer.failure.Kind)
	require.Equal(t, problem.RanNo, answer.failure.Ran)
	require.NotEmpty(t, answer.failure.Remedy)
}

// requireNotFound requires that the answer to a request for another account's id equals
// that for an id that does not exist.
func requireNotFound(t *testing.T, c *cluster, answer plainAnswer) {
	t.Helper()
	unknown := sendRequest(t, http.MethodGet, c.hosts[1].callerURL+"/v1/completions/never-sent", keySkipper, "")
	require.Equal(t, http.StatusNotFound, answer.status, answer.body)
	require.NotNil(t, answer.failure)
	require.Equal(t, unknown.failure.Kind, answer.failure.Kind)
	require.Equal(t, unknown.failure.Ran, answer.failure.Ran)
}

func attackWrongKey(t *testing.T, c *cluster) string {
	url := c.hosts[0].callerURL
	requests := 0
	for _, key := range []string{"", "hk_", "hk_wrong", keyDesk + "x", keyDesk[:len(keyDesk)-1], keyHash(keyDesk), strings.Repeat("k", 4096)} {
		requireRejection(t, sendRequest(t, http.MethodPost, url+"/v1/completions", key, `{"model":"briefing","prompt":"x"}`), http.StatusUnauthorized, problem.KindUnauthenticated)
		requireRejection(t, sendRequest(t, http.MethodGet, url+"/v1/completions/any", key, ""), http.StatusUnauthorized, problem.KindUnauthenticated)
		requireRejection(t, sendRequest(t, http.MethodDelete, url+"/v1/completions/any", key, ""), http.StatusUnauthorized, problem.KindUnauthenticated)
		requireRejection(t, sendRequest(t, http.MethodPost, url+"/services/booking/seat-holds", key, `{"berth":"b"}`, "Idempotency-Key", "stranger"), http.StatusUnauthorized, problem.KindUnauthenticated)
		requests += 4
	}
	require.Zero(t, c.executions()["stranger"])
	return fmt.Sprintf("%d requests with 7 wrong keys refused", requests)
}

// streamAsDesk reads a stream for the account desk and returns it with its last resume
// token.
func streamAsDesk(t *testing.T, c *cluster, id string) *streamCaller {
	t.Helper()
	caller := newCaller(keyDesk, id, "", "Secret "+id, 40)
	require.NoError(t, readStream(context.Background(), c.hosts[0].callerURL, caller.call, &caller.got))
	require.NotEmpty(t, caller.got.lastEventID)
	return caller
}

// resumeWith tries to resume a stream with a key and a resume token.
func resumeWith(t *testing.T, c *cluster, key, id, token string) plainAnswer {
	t.Helper()
	return sendRequest(t, http.MethodGet, c.hosts[1].callerURL+"/v1/completions/"+id, key, "", "Accept", "text/event-stream", "Last-Event-ID", token)
}

func attackOtherToken(t *testing.T, c *cluster) string {
	caller := streamAsDesk(t, c, "token-of-desk")
	answer := resumeWith(t, c, keySkipper, "token-of-desk", caller.got.lastEventID)
	require.NotNil(t, answer.failure, answer.body)
	require.Equal(t, problem.KindBadResumeToken, answer.failure.Kind)
	other := resumeWith(t, c, keyDesk, "another-id", caller.got.lastEventID)
	require.Equal(t, problem.KindBadResumeToken, other.failure.Kind)
	return "token refused for another account and for another id"
}

func attackForgedToken(t *testing.T, c *cluster) string {
	caller := streamAsDesk(t, c, "token-to-forge")
	token := caller.got.lastEventID
	for i := range token {
		forged := []byte(token)
		forged[i] ^= 1
		answer := resumeWith(t, c, keyDesk, "token-to-forge", string(forged))
		require.NotNilf(t, answer.failure, "changed byte %d: %s", i, answer.body)
		require.Equal(t, problem.KindBadResumeToken, answer.failure.Kind, "changed byte %d", i)
	}
	for _, text := range []string{"x", strings.Repeat("A", 8000), token + "A", token[1:], "k1." + token} {
		require.Equal(t, problem.KindBadResumeToken, resumeWith(t, c, keyDesk, "token-to-forge", text).failure.Kind)
	}
	return fmt.Sprintf("%d tokens with a changed byte refused", len(token))
}

func attackExpiredToken(t *testing.T, c *cluster) string {
	caller := streamAsDesk(t, c, "token-to-expire")
	resume := func() plainAnswer { return resumeWith(t, c, keyDesk, "token-to-expire", caller.got.lastEventID) }
	require.Nil(t, resume().failure)
	took := harness.Await(t, 3*resumeTokenLifetime, "expiry of the token", func() bool { return resume().failure != nil })
	require.Equal(t, problem.KindBadResumeToken, resume().failure.Kind)
	return fmt.Sprintf("token refused %s after its last use", took.Round(100*time.Millisecond))
}

func attackLateAnswer(t *testing.T, c *cluster) string {
	const number = 40 // an even number, so that account desk owns the request
	c.sendLateRequest(t, number)
	url := c.hosts[1].callerURL + "/v1/completions/" + lateRequestID(number)
	requireNotFound(t, c, sendRequest(t, http.MethodGet, url, keySkipper, ""))
	requireNotFound(t, c, sendRequest(t, http.MethodDelete, url, keySkipper, ""))
	tokens := c.fetchLateAnswer(t, number)
	requireNotFound(t, c, sendRequest(t, http.MethodGet, url, keySkipper, ""))
	return fmt.Sprintf("neither read nor cancelled by another account; %d tokens fetched by its own", tokens)
}

func attackRunningStream(t *testing.T, c *cluster) string {
	caller := newCaller(keyDesk, "running-of-desk", "", "Running", 80)
	otherAnswers := make(chan plainAnswer, 1)
	caller.call.onChunk = func(n int) {
		if n == 10 {
			url := c.hosts[1].callerURL + "/v1/completions/running-of-desk"
			_ = sendRequest(t, http.MethodDelete, url, keySkipper, "")
			otherAnswers <- sendRequest(t, http.MethodGet, url, keySkipper, "", "Accept", "text/event-stream")
		}
	}
	require.NoError(t, readStream(context.Background(), c.hosts[0].callerURL, caller.call, &caller.got))
	requireNotFound(t, c, <-otherAnswers)
	c.checkOwnAnswers(t, []*streamCaller{caller})
	return "neither read nor cancelled by another account"
}

func attackOversized(t *testing.T, c *cluster) string {
	url := c.hosts[0].callerURL
	large := `{"model":"briefing","prompt":"` + strings.Repeat("x", 2<<20) + `"}`
	requireRejection(t, sendRequest(t, http.MethodPost, url+"/v1/completions", keySkipper, large), http.StatusRequestEntityTooLarge, problem.KindTooLarge)
	requireRejection(t, sendRequest(t, http.MethodPost, url+"/services/booking/seat-holds", keySkipper, large, "Idempotency-Key", "large"),
		http.StatusRequestEntityTooLarge, problem.KindTooLarge)
	header := sendRequest(t, http.MethodGet, url+"/v1/completions/any", keySkipper, "", "X-Large", strings.Repeat("h", 64<<10))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, header.status)
	requireRejection(t, sendRequest(t, http.MethodPost, url+"/v1/completions", keySkipper, `{"model":"briefing","prompt":"x"}`,
		"Idempotency-Key", strings.Repeat("k", 200)), http.StatusBadRequest, problem.KindBadRequest)
	require.Zero(t, c.executions()["large"])
	return "2 MiB body, 64 KiB header and long key refused"
}

func attackMalformed(t *testing.T, c *cluster) string {
	bodies := []string{"", "{", "[]", "null", `"x"`, `{"model":1}`, `{"model":"briefing"}`, `{"model":"briefing","prompt":"x","unknown":1}`,
		`{"model":"briefing","prompt":"x","max_tokens":-1}`, `{"model":"briefing","prompt":"x","max_tokens":1e99}`,
		`{"model":"briefing","prompt":"x"}{"model":"briefing","prompt":"y"}`, "\x00\xff\xfe",
		strings.Repeat("[", 100_000), strings.Repeat(`{"a":`, 50_000), `{"prompt":` + strings.Repeat("[", 1000) + strings.Repeat("]", 1000) + `}`}
	for _, body := range bodies {
		requireRejection(t, sendRequest(t, http.MethodPost, c.hosts[0].callerURL+"/v1/completions", keySkipper, body), http.StatusBadRequest, problem.KindBadRequest)
	}
	return fmt.Sprintf("%d malformed bodies refused", len(bodies))
}

func attackReusedKey(t *testing.T, c *cluster) string {
	first, err := c.hold(t, 0, "reused-key")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, first.status)
	other := sendRequest(t, http.MethodPost, c.hosts[1].callerURL+"/services/booking/seat-holds", keyDesk, `{"berth":"another"}`, "Idempotency-Key", "reused-key")
	requireRejection(t, other, http.StatusConflict, problem.KindKeyReused)
	require.Equal(t, 1, c.executions()["reused-key"])
	caller := streamAsDesk(t, c, "reused-id")
	again := sendRequest(t, http.MethodPost, c.hosts[1].callerURL+"/v1/completions", keyDesk, `{"model":"briefing","prompt":"other","stream":true}`, "Idempotency-Key", "reused-id")
	requireRejection(t, again, http.StatusConflict, problem.KindKeyReused)
	require.Equal(t, 1, c.generationsOf("reused-id"))
	return fmt.Sprintf("hold and completion (%d tokens) keep their first bodies", len(caller.got.chunks))
}

func attackPaths(t *testing.T, c *cluster) string {
	paths := []string{"/services/booking/admin/fault", "/services/booking/../admin/fault", "/services/booking/seat-holds/../admin/fault",
		"/services/booking//admin/fault", "/services/booking/%2e%2e/admin/fault", "/services/booking/seat-holds/%2e%2e/admin/fault",
		"/services/dispatch/history", "/services/", "/admin/fault", "/debug/pprof/", "/metrics"}
	for _, path := range paths {
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
			answer := sendRequest(t, method, c.hosts[0].callerURL+path, keySkipper, `{"die_next":1}`, "Idempotency-Key", "path")
			require.NotNilf(t, answer.failure, "%s %s: %d %s", method, path, answer.status, answer.body)
			require.Containsf(t, []int{http.StatusNotFound, http.StatusForbidden, http.StatusMethodNotAllowed, http.StatusBadRequest},
				answer.status, "%s %s", method, path)
		}
	}
	require.True(t, getOK("http://"+c.services[0].direct+"/livez"))
	return fmt.Sprintf("%d paths refused", len(paths))
}
