package targetgate

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/warmup"
)

// coldWire reads the header Cold.
type coldWire struct{ fakeWire }

func (coldWire) TargetNotice(_ int, h http.Header) edge.TargetNotice {
	left, err := time.ParseDuration(h.Get("Cold"))
	return edge.TargetNotice{ColdStated: err == nil, Cold: left}
}

// A target that turns cold without a new entry says so in its answers only.
func TestAnswerMakesATargetCold(t *testing.T) {
	g, counted, _, _ := newGate()
	g.Wire = coldWire{}
	cold, warm := http.Header{"Cold": {"1m"}}, http.Header{"Cold": {"0s"}}
	g.Observe("a@1", address, request(), http.StatusOK, cold, false) // nothing is bounded
	require.Equal(t, targetnotice.Allowed, admit(g, "a@1", request()))

	g.Warmup = warmup.New(slog.New(slog.DiscardHandler), "host", node.ColdBound{Factor: 1.5, Slack: 5}, func(string) (float64, time.Duration) { return 4, time.Minute })
	g.Notices.Warmup = g.Warmup
	for _, key := range []string{"a@1", "b@1"} {
		g.Warmup.ObserveEntry(key, "s", 1, 0, bootclock.Now().Add(-time.Second))
	}
	g.Observe("a@1", address, request(), http.StatusOK, cold, true) // may be an earlier answer once more
	require.Equal(t, targetnotice.Allowed, admit(g, "a@1", request()))
	g.Observe("a@1", address, request(), http.StatusOK, cold, false)
	require.Equal(t, targetnotice.Cold, admit(g, "a@1", request()))
	require.Equal(t, targetnotice.Cold, admit(g, "a@1", &targetconn.Request{ID: "r-2", Use: targetnotice.Continuation, Arrived: bootclock.Now()}))
	require.Equal(t, targetnotice.Allowed, admit(g, "b@1", request()))
	require.Equal(t, 2, counted["refused cold"])
	g.Observe("a@1", address, request(), http.StatusMisdirectedRequest, cold, false) // written by the other target there
	require.Equal(t, targetnotice.Cold, admit(g, "b@1", request()))
	g.Observe("a@1", address, request(), http.StatusOK, warm, false)
	require.Equal(t, targetnotice.Allowed, admit(g, "a@1", request()))
}
