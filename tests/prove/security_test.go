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

// attack is one thing that a hostile caller does.
type attack struct {
	name  string
	short bool
	do    func(t *testing.T, c *cluster) string
}

func attacks() []attack {
	return []attack{
		{name: "wrong key", short: true, do: attackWrongKey},
		{name: "other account's resume token", short: true, do: attackOtherToken},
		{name: "forged resume token", do: attackForgedToken},
		{name: "expired resume token", do: attackExpiredToken},
		{name: "other account's late answer", short: true, do: attackLateAnswer},
		{name: "other account's running stream", do: attackRunningStream},
		{name: "oversized body and header", short: true, do: attackOversized},
		{name: "malformed and deep JSON", do: attackMalformed},
		{name: "used key with another body", short: true, do: attackReusedKey},
		{name: "paths outside the document", do: attackPaths},
		{name: "callers that never finish their header", do: attackSlowHeader},
		{name: "callers that never read their stream", do: attackNoReader},
		{name: "flood of one account", do: attackFlood},
	}
}

// tokenLifeInTests is short, so that a token expires during a test.
const tokenLifeInTests = 4 * time.Second

// TestHostileCallers lets a hostile account and strangers attack while streams
// of another account run, all of which must end whole.
func TestHostileCallers(t *testing.T) {
	t.Parallel()
	t.Run("on one cluster", func(t *testing.T) {
		t.Parallel()
		defer slot()()
		c := startCluster(t, clusterSize{hosts: 2, engines: 3, services: 1,
			gatewayArgs: []string{"--header-timeout", "1s", "--token-life", tokenLifeInTests.String(), "--slow-caller-timeout", "2s"}})
		for _, one := range attacks() {
			t.Run(one.name, func(t *testing.T) { proveAttack(t, c, one) })
		}
	})
}

func proveAttack(t *testing.T, c *cluster, one attack) {
	if testing.Short() && !one.short {
		t.Skip("not in the short form")
	}
	figures := ""
	record(t, "hostile caller harms nobody", one.name, &figures)
	spec := trafficSpec{streams: 6, tokens: 60, trigger: 6, idPrefix: validID("innocent-" + one.name)}
	tr := startTraffic(c, spec)
	tr.awaitReached()
	figures = one.do(t, c)
	tr.finish()
	tokens := tr.checkWhole(t, spec, "v1")
	for _, h := range c.hosts {
		require.Truef(t, getOK(h.ops+"/readyz"), "%s is ready", h.name)
	}
	figures += fmt.Sprintf("; %d innocent streams, %d tokens whole", spec.streams, tokens)
}

// ask sends a request and returns the status and the problem, if there is one.
func ask(t *testing.T, method, url, key, body string, headers ...string) plainAnswer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	answer, err := exchange(request)
	require.NoError(t, err)
	return answer
}

// refusedWith requires a final typed refusal.
func refusedWith(t *testing.T, answer plainAnswer, status int, kind problem.Kind) {
	t.Helper()
	require.Equal(t, status, answer.status, answer.body)
	require.NotNil(t, answer.failure, answer.body)
	require.Equal(t, kind, answer.failure.Kind)
	require.Equal(t, problem.RanNo, answer.failure.Ran)
	require.NotEmpty(t, answer.failure.Remedy)
}

// unknownTo requires that an id of another account is answered as one that does
// not exist.
func unknownTo(t *testing.T, c *cluster, answer plainAnswer) {
	t.Helper()
	never := ask(t, http.MethodGet, c.hosts[1].url+"/v1/completions/never-sent", keySkipper, "")
	require.Equal(t, http.StatusNotFound, answer.status, answer.body)
	require.NotNil(t, answer.failure)
	require.Equal(t, never.failure.Kind, answer.failure.Kind)
	require.Equal(t, never.failure.Ran, answer.failure.Ran)
}

func attackWrongKey(t *testing.T, c *cluster) string {
	url := c.hosts[0].url
	tries := 0
	for _, key := range []string{"", "hk_", "hk_wrong", keyDesk + "x", keyDesk[:len(keyDesk)-1], keyHash(keyDesk), strings.Repeat("k", 4096)} {
		refusedWith(t, ask(t, http.MethodPost, url+"/v1/completions", key, `{"model":"briefing","prompt":"x"}`), http.StatusUnauthorized, problem.KindUnauthenticated)
		refusedWith(t, ask(t, http.MethodGet, url+"/v1/completions/any", key, ""), http.StatusUnauthorized, problem.KindUnauthenticated)
		refusedWith(t, ask(t, http.MethodDelete, url+"/v1/completions/any", key, ""), http.StatusUnauthorized, problem.KindUnauthenticated)
		refusedWith(t, ask(t, http.MethodPost, url+"/services/booking/seat-holds", key, `{"berth":"b"}`, "Idempotency-Key", "stranger"), http.StatusUnauthorized, problem.KindUnauthenticated)
		tries += 4
	}
	require.Zero(t, c.executions()["stranger"])
	return fmt.Sprintf("%d requests with 7 wrong keys refused", tries)
}

// deskToken streams for the desk account and returns the stream with its last token.
func deskToken(t *testing.T, c *cluster, id string) *caller {
	t.Helper()
	one := newCaller(keyDesk, id, "", "Secret "+id, 40)
	require.NoError(t, stream(context.Background(), c.hosts[0].url, one.call, &one.got))
	require.NotEmpty(t, one.got.lastEventID)
	return one
}

func resumeWith(t *testing.T, c *cluster, key, id, token string) plainAnswer {
	t.Helper()
	return ask(t, http.MethodGet, c.hosts[1].url+"/v1/completions/"+id, key, "", "Accept", "text/event-stream", "Last-Event-ID", token)
}

func attackOtherToken(t *testing.T, c *cluster) string {
	one := deskToken(t, c, "token-of-desk")
	answer := resumeWith(t, c, keySkipper, "token-of-desk", one.got.lastEventID)
	require.NotNil(t, answer.failure, answer.body)
	require.Equal(t, problem.KindBadResumeToken, answer.failure.Kind)
	other := resumeWith(t, c, keyDesk, "another-id", one.got.lastEventID)
	require.Equal(t, problem.KindBadResumeToken, other.failure.Kind)
	return "token refused for another account and for another id"
}

func attackForgedToken(t *testing.T, c *cluster) string {
	one := deskToken(t, c, "token-to-forge")
	token := one.got.lastEventID
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
	one := deskToken(t, c, "token-to-expire")
	take := func() plainAnswer { return resumeWith(t, c, keyDesk, "token-to-expire", one.got.lastEventID) }
	require.Nil(t, take().failure)
	took := harness.Await(t, 3*tokenLifeInTests, "expiry of the token", func() bool { return take().failure != nil })
	require.Equal(t, problem.KindBadResumeToken, take().failure.Kind)
	return fmt.Sprintf("token refused %s after its last use", took.Round(100*time.Millisecond))
}

func attackLateAnswer(t *testing.T, c *cluster) string {
	const draft = 40 // draft 40 is the desk's
	c.acceptDraft(t, draft)
	url := c.hosts[1].url + "/v1/completions/" + draftID(draft)
	unknownTo(t, c, ask(t, http.MethodGet, url, keySkipper, ""))
	unknownTo(t, c, ask(t, http.MethodDelete, url, keySkipper, ""))
	tokens := c.fetchDraft(t, draft)
	unknownTo(t, c, ask(t, http.MethodGet, url, keySkipper, ""))
	return fmt.Sprintf("neither read nor cancelled by another account; %d tokens fetched by its own", tokens)
}

func attackRunningStream(t *testing.T, c *cluster) string {
	one := newCaller(keyDesk, "running-of-desk", "", "Running", 80)
	stolen := make(chan plainAnswer, 1)
	one.call.onChunk = func(n int) {
		if n == 10 {
			url := c.hosts[1].url + "/v1/completions/running-of-desk"
			_ = ask(t, http.MethodDelete, url, keySkipper, "")
			stolen <- ask(t, http.MethodGet, url, keySkipper, "", "Accept", "text/event-stream")
		}
	}
	require.NoError(t, stream(context.Background(), c.hosts[0].url, one.call, &one.got))
	unknownTo(t, c, <-stolen)
	c.checkOwn(t, []*caller{one})
	return "neither read nor cancelled by another account"
}

func attackOversized(t *testing.T, c *cluster) string {
	url := c.hosts[0].url
	large := `{"model":"briefing","prompt":"` + strings.Repeat("x", 2<<20) + `"}`
	refusedWith(t, ask(t, http.MethodPost, url+"/v1/completions", keySkipper, large), http.StatusRequestEntityTooLarge, problem.KindTooLarge)
	refusedWith(t, ask(t, http.MethodPost, url+"/services/booking/seat-holds", keySkipper, large, "Idempotency-Key", "large"),
		http.StatusRequestEntityTooLarge, problem.KindTooLarge)
	header := ask(t, http.MethodGet, url+"/v1/completions/any", keySkipper, "", "X-Large", strings.Repeat("h", 64<<10))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, header.status)
	refusedWith(t, ask(t, http.MethodPost, url+"/v1/completions", keySkipper, `{"model":"briefing","prompt":"x"}`,
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
		refusedWith(t, ask(t, http.MethodPost, c.hosts[0].url+"/v1/completions", keySkipper, body), http.StatusBadRequest, problem.KindBadRequest)
	}
	return fmt.Sprintf("%d malformed bodies refused", len(bodies))
}

func attackReusedKey(t *testing.T, c *cluster) string {
	first, err := c.hold(t, 0, "reused-key")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, first.status)
	other := ask(t, http.MethodPost, c.hosts[1].url+"/services/booking/seat-holds", keyDesk, `{"berth":"another"}`, "Idempotency-Key", "reused-key")
	refusedWith(t, other, http.StatusConflict, problem.KindKeyReused)
	require.Equal(t, 1, c.executions()["reused-key"])
	one := deskToken(t, c, "reused-id")
	again := ask(t, http.MethodPost, c.hosts[1].url+"/v1/completions", keyDesk, `{"model":"briefing","prompt":"other","stream":true}`, "Idempotency-Key", "reused-id")
	refusedWith(t, again, http.StatusConflict, problem.KindKeyReused)
	require.Equal(t, 1, c.startsOf("reused-id"))
	return fmt.Sprintf("hold and completion (%d tokens) keep their first bodies", len(one.got.chunks))
}

func attackPaths(t *testing.T, c *cluster) string {
	paths := []string{"/services/booking/admin/fault", "/services/booking/../admin/fault", "/services/booking/seat-holds/../admin/fault",
		"/services/booking//admin/fault", "/services/booking/%2e%2e/admin/fault", "/services/booking/seat-holds/%2e%2e/admin/fault",
		"/services/dispatch/history", "/services/", "/admin/fault", "/debug/pprof/", "/metrics"}
	for _, path := range paths {
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
			answer := ask(t, method, c.hosts[0].url+path, keySkipper, `{"die_next":1}`, "Idempotency-Key", "path")
			require.NotNilf(t, answer.failure, "%s %s: %d %s", method, path, answer.status, answer.body)
			require.Containsf(t, []int{http.StatusNotFound, http.StatusForbidden, http.StatusMethodNotAllowed, http.StatusBadRequest},
				answer.status, "%s %s", method, path)
		}
	}
	require.True(t, getOK("http://"+c.services[0].direct+"/livez"))
	return fmt.Sprintf("%d paths refused", len(paths))
}
