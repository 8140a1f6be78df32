package targetgate

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// A target that was chosen, or that another host asks for, may be in a domain that has been evacuated
// since. Runs that execute there go on, and may be copied elsewhere.
func TestEvacuatedTargetsGetNoRequests(t *testing.T) {
	g, counted, _, _ := newGate()
	evacuated := evacuation.NewHolder(slog.New(slog.DiscardHandler), func(int64) bool { return true })
	registry := targets.New(g.Notices, func(targets.Target, targets.LeavingNotice) {})
	registry.ExcludeEvacuated(evacuated)
	registry.Replace(map[string]targets.Target{
		"a": {ID: "a", StartedAtMS: 1, Service: "s", Domain: "1"}, "b": {ID: "b", StartedAtMS: 1, Service: "s", Domain: "2"},
	}, 1)
	g.Targets = registry
	verdict := func(incarnation string, use targetnotice.Use, copyTo string) targetnotice.Verdict {
		r := request()
		r.Use, r.CopyTo = use, copyTo
		checked := g.Check(incarnation, r)
		require.Equal(t, checked, admit(g, incarnation, r))
		return checked
	}
	require.Equal(t, targetnotice.Evacuated, verdict("a@1", targetnotice.Request, ""), "it is not known yet which are evacuated")
	evacuated.Replace(nil, 1, true, "test")
	require.Equal(t, targetnotice.Allowed, verdict("a@1", targetnotice.Request, ""))
	evacuated.Replace([]string{"1"}, 2, true, "test")
	for _, use := range []targetnotice.Use{targetnotice.Request, targetnotice.ForwardedRequest, targetnotice.Continuation, targetnotice.CopyDestination} {
		require.Equal(t, targetnotice.Evacuated, verdict("a@1", use, ""), "use %d", use)
		require.Equal(t, targetnotice.Evacuated, verdict("unlisted@1", use, ""), "use %d", use)
		require.Equal(t, targetnotice.Allowed, verdict("b@1", use, ""), "use %d", use)
	}
	for _, use := range []targetnotice.Use{targetnotice.Control, targetnotice.Probe} {
		require.Equal(t, targetnotice.Allowed, verdict("a@1", use, ""), "use %d", use)
	}
	require.Equal(t, targetnotice.Allowed, verdict("a@1", targetnotice.Control, "b@1"))
	require.Equal(t, targetnotice.Evacuated, verdict("b@1", targetnotice.Control, "a@1"))
	require.Equal(t, 20, counted["refused evacuated"])
	evacuated.Replace(nil, 3, true, "test")
	require.Equal(t, targetnotice.Allowed, verdict("a@1", targetnotice.Request, ""))
}
