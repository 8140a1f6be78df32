package edge_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/platform"
	"corianderhitch/platform/headers"
)

const connectionTakes = 300 * time.Millisecond

// slowGate makes the way to the connection take as long as that of a lost packet.
type slowGate struct{}

func (slowGate) Check(string, *targetconn.Request) targetnotice.Verdict {
	time.Sleep(connectionTakes)
	return targetnotice.Allowed
}

func (slowGate) Admit(string, *targetconn.Request) (targetnotice.Verdict, func(bool)) {
	return targetnotice.Allowed, func(bool) {}
}

func (slowGate) Observe(string, string, *targetconn.Request, int, http.Header, bool) bool {
	return false
}

func TestTargetIsGivenTheTimeThatItsConnectionTook(t *testing.T) {
	t.Parallel()
	const patience = time.Second
	given := make(chan string, 1)
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { given <- r.Header.Get(headers.Deadline) }))
	defer target.Close()
	pool := targetconn.New(func(http.Header) string { return "" }, slowGate{}, func(string) float64 { return 1 })
	sender := &edge.Sender{Wire: platform.Wire{}, Pool: pool}
	a := &edge.AuthorizedCall{Call: &edge.Call{ID: "r", Method: http.MethodGet, URI: "/", Header: http.Header{}}, Deadline: bootclock.Now().Add(patience)}
	response, err := sender.Send(t.Context(), a, &targets.Target{ID: "t", Address: target.Listener.Addr().String()}, edge.Dispatch{})
	require.NoError(t, err)
	response.Discard()
	ms, err := strconv.Atoi(<-given)
	require.NoError(t, err)
	require.LessOrEqual(t, time.Duration(ms)*time.Millisecond, patience-connectionTakes)
}
