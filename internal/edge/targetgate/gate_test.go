package targetgate

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

const (
	address = "127.0.0.1:1"
	pause   = time.Minute
)

// fakeWire reads the headers Leaving, Pause, Brittle and Malformed. Only status 503 shows that a
// request has not been executed.
type fakeWire struct{ edge.Wire }

func (fakeWire) TargetNotice(_ int, h http.Header) edge.TargetNotice {
	n := edge.TargetNotice{Leaving: h.Get("Leaving") != "", Malformed: h.Get("Malformed")}
	if h.Get("Pause") != "" {
		n.Pause = pause
	}
	if h.Get("Brittle") != "" {
		n.Brittle = 3
	}
	return n
}

func (fakeWire) Signed(http.Header) bool { return true }

func (fakeWire) NotExecuted(status int, _ http.Header) bool {
	return status == http.StatusServiceUnavailable
}

type counts map[string]int

func (c counts) ObserveTargetNotice(kind string) { c["notice "+kind]++ }

func (c counts) ObserveRefusedSend(reason string) { c["refused "+reason]++ }

// newGate returns a gate for the targets a@1 and b@1 at one address, with its counters, its
// log and the incarnations of which it was told that they leave.
func newGate() (g *Gate, counted counts, log *bytes.Buffer, leaving *[]string) {
	counted, log, leaving = make(counts), &bytes.Buffer{}, &[]string{}
	notices := targetnotice.New()
	registry := targets.New(notices, func(_ targets.Target, n targets.LeavingNotice) { *leaving = append(*leaving, n.Key+" "+n.Source) })
	registry.Replace(map[string]targets.Target{
		"a": {ID: "a", StartedAtMS: 1, Service: "s", Address: address}, "b": {ID: "b", StartedAtMS: 1, Service: "s", Address: address},
	}, 1)
	return &Gate{Log: slog.New(slog.NewJSONHandler(log, nil)), Wire: fakeWire{}, Notices: notices, Targets: registry, Observer: counted}, counted, log, leaving
}

// request returns a caller's request that arrives now.
func request() *targetconn.Request {
	return &targetconn.Request{ID: "r-1", URI: "/x", Arrived: bootclock.Now()}
}

// admit returns the verdict on a send that is answered at once.
func admit(g *Gate, incarnation string, r *targetconn.Request) targetnotice.Verdict {
	v, ended := g.Admit(incarnation, r)
	ended(true)
	return v
}

func TestLeavingAnswerIsPassedOnOnce(t *testing.T) {
	g, counted, log, leaving := newGate()
	before := request()
	for range 3 {
		require.True(t, g.Observe("a@1", address, before, http.StatusOK, http.Header{"Leaving": {"1"}}, false))
	}
	require.Equal(t, []string{"a@1 answer"}, *leaving)
	require.Equal(t, 1, strings.Count(log.String(), "\n"))
	require.Contains(t, log.String(), `"request":"r-1"`, "explain shows the line of the request")
	require.Equal(t, targetnotice.Allowed, g.Check("a@1", before))
	require.Equal(t, targetnotice.Leaving, admit(g, "a@1", request()))
	require.Equal(t, targetnotice.Allowed, admit(g, "b@1", request()))
	require.Equal(t, counts{"notice leaving": 3, "refused leaving": 1}, counted)
}

// A misdirected request was answered by the other target at the address, not by the one that
// it was sent to.
func TestMisdirectedAnswerIsFromTheOtherTarget(t *testing.T) {
	g, _, _, leaving := newGate()
	g.Observe("a@1", address, request(), http.StatusMisdirectedRequest, http.Header{"Leaving": {"1"}}, false)
	require.Equal(t, []string{"b@1 answer"}, *leaving)
	require.Equal(t, targetnotice.Allowed, admit(g, "a@1", request()))
	require.Equal(t, targetnotice.Leaving, admit(g, "b@1", request()))
	g.Observe("c@1", "127.0.0.1:9", request(), http.StatusMisdirectedRequest, http.Header{"Leaving": {"1"}}, false)
	require.Equal(t, targetnotice.Allowed, admit(g, "c@1", request()))
}

func TestPauseIsLoggedOnce(t *testing.T) {
	g, counted, log, leaving := newGate()
	for range 3 {
		require.False(t, g.Observe("a@1", address, request(), http.StatusServiceUnavailable, http.Header{"Pause": {"1"}}, false))
	}
	require.Empty(t, *leaving)
	require.Equal(t, 1, strings.Count(log.String(), "\n"))
	require.Contains(t, log.String(), `"retry_after_ms":60000`)
	require.Equal(t, targetnotice.Paused, admit(g, "a@1", request()))
	require.Equal(t, counts{"notice pause": 3, "refused paused": 1}, counted)
}

func TestOnlyRequestsShowWhetherBrittleTargetHasRoom(t *testing.T) {
	for name, c := range map[string]struct {
		use  targetnotice.Use
		next time.Duration // shortest pause after the next rejection
	}{
		"request":             {targetnotice.Request, time.Second},
		"continuation":        {targetnotice.Continuation, time.Second},
		"forwarded request":   {targetnotice.ForwardedRequest, time.Second},
		"control":             {targetnotice.Control, 2 * time.Second},
		"load report":         {targetnotice.Probe, 2 * time.Second},
		"destination of copy": {targetnotice.CopyDestination, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g, _, _, _ := newGate()
			brittle := http.Header{"Brittle": {"1"}}
			before := bootclock.Now().Add(-10 * time.Second)
			g.Notices.ObserveBrittle("a@1", before, 3, 4)
			g.Notices.ObserveRoom("a@1", before, false, 0)
			answered := request()
			answered.Use = c.use
			g.Observe("a@1", address, answered, http.StatusOK, brittle, false)
			g.Observe("a@1", address, request(), http.StatusServiceUnavailable, brittle, false)
			left := g.Notices.FullLeft("a@1", bootclock.Now())
			require.InDelta(t, 1.25*c.next.Seconds(), left.Seconds(), 0.26*c.next.Seconds())
		})
	}
}

func TestOtherRequestsAreRefusedDuringTrial(t *testing.T) {
	g, counted, _, _ := newGate()
	now := bootclock.Now()
	g.Notices.ObservePause("a@1", now.Add(-2*time.Second), time.Second, 0)
	_, trial := g.Notices.Admit("a@1", targetnotice.Request, now, now.Add(5*time.Second)) // it must outlast this test
	require.Equal(t, targetnotice.OnTrial, g.Check("a@1", request()))
	require.Equal(t, targetnotice.OnTrial, admit(g, "a@1", request()))
	require.Equal(t, counts{"refused on_trial": 2}, counted)
	g.Notices.EndTrial(trial, true)
	require.Equal(t, targetnotice.Allowed, admit(g, "a@1", request()))
}

func TestEndOfRequestEndsItsTrial(t *testing.T) {
	for _, answered := range []bool{true, false} {
		g, _, log, _ := newGate()
		g.Notices.ObservePause("a@1", bootclock.Now().Add(-2*time.Second), time.Second, 0)
		trialEnded := g.Notices.TrialEnded()
		v, ended := g.Admit("a@1", request())
		require.Equal(t, targetnotice.Allowed, v)
		require.Contains(t, log.String(), `"request":"r-1"`, "explain shows the line of the request")
		ended(answered)
		<-trialEnded
		require.Equal(t, targetnotice.Allowed, admit(g, "a@1", request()))
		if answered {
			require.Equal(t, 1, strings.Count(log.String(), "\n"), "the target is open")
		}
	}
}

func TestRunsGoOnWhileTheirTargetLeaves(t *testing.T) {
	g, _, _, _ := newGate()
	g.Observe("a@1", address, request(), http.StatusOK, http.Header{"Leaving": {"1"}}, false)
	move := &targetconn.Request{Use: targetnotice.Control, CopyTo: "b@1"}
	require.Equal(t, targetnotice.Allowed, admit(g, "a@1", move), "a run moves off")
	require.Equal(t, targetnotice.Allowed, admit(g, "a@1", &targetconn.Request{Use: targetnotice.Control}))
	require.Equal(t, targetnotice.Leaving, admit(g, "a@1", &targetconn.Request{Use: targetnotice.Probe}))
	move.CopyTo = "a@1"
	require.Equal(t, targetnotice.Leaving, admit(g, "b@1", move), "no run is copied to a leaving target")
	g.Observe("b@1", address, request(), http.StatusServiceUnavailable, http.Header{"Pause": {"1"}}, false)
	move.CopyTo = "b@1"
	require.Equal(t, targetnotice.Paused, admit(g, "a@1", move))
}

func TestMalformedHeadersAreLoggedRarely(t *testing.T) {
	g, counted, log, _ := newGate()
	for range 1000 {
		g.Observe("a@1", address, request(), http.StatusOK, http.Header{"Malformed": {"x"}}, false)
	}
	require.Equal(t, 1, strings.Count(log.String(), "\n"))
	require.Equal(t, counts{"notice malformed": 1000}, counted)
	require.Equal(t, targetnotice.Allowed, admit(g, "a@1", request()))
}

// A target that wrote an earlier answer once more got no requests for the time of the pause again, or more than
// the limit that it still names.
func TestRepeatedAnswerStatesOnlyThatItsTargetLeaves(t *testing.T) {
	g, _, _, _ := newGate()
	refused := http.Header{"Pause": {"1"}}
	g.Observe("a@1", address, request(), http.StatusServiceUnavailable, refused, true)
	require.Equal(t, targetnotice.Allowed, g.Check("a@1", request()))
	g.Observe("a@1", address, request(), http.StatusServiceUnavailable, refused, false)
	require.NotEqual(t, targetnotice.Allowed, g.Check("a@1", request()))
	require.True(t, g.Observe("b@1", address, request(), http.StatusOK, http.Header{"Leaving": {"1"}}, true))
	require.NotEqual(t, targetnotice.Allowed, g.Check("b@1", request()))
}
