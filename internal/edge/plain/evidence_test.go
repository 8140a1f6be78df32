package plain

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/quarantine"
)

// silentCall is a call that ends at its deadline without an answer of its target.
type silentCall struct {
	server *Server
	target targets.Target
	heard  int // times that other hosts were to hear of evidence
}

func newSilentCall(t *testing.T) *silentCall {
	c := &silentCall{target: targets.Target{ID: "t"}}
	guard := &edge.CrashGuard{Tracker: quarantine.New("host", nil), OnEvidence: func() { c.heard++ }}
	registry := targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {})
	registry.Replace(map[string]targets.Target{"t": c.target}, 1)
	c.server = &Server{Sender: &edge.Sender{Crashes: guard}, Targets: registry, Health: ejection.New(), Stalls: &stall.Detector{}}
	require.NotNil(t, registry.View().Get(c.target.Key()))
	return c
}

// end ends the call and reports whether it counts as evidence.
func (c *silentCall) end(t *testing.T, took time.Duration) bool {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	a := &edge.AuthorizedCall{Call: &edge.Call{ID: "r"}}
	return c.server.recordEvidence(ctx, a, bootclock.Now().Add(-took), &outcome{target: &c.target, result: broken, took: took})
}

func TestTargetThatAnswersOthersIsTakenForCrashed(t *testing.T) {
	c := newSilentCall(t)
	c.server.recordAnswer(c.target.Key())
	require.False(t, c.end(t, time.Second))
	require.True(t, newSilentCall(t).end(t, time.Second), "a target that answers nothing")
}

func TestShortCallTakesItsTargetForCrashed(t *testing.T) {
	require.False(t, newSilentCall(t).end(t, minCrashSilence/2))
}

func TestTargetThatAnswersAfterItsSilenceStaysTakenForCrashed(t *testing.T) {
	c := newSilentCall(t)
	require.True(t, c.end(t, time.Second))
	require.Equal(t, 1, c.heard)
	c.server.recordAnswer(c.target.Key())
	require.Equal(t, 2, c.heard, "the report is taken back")
	c.server.recordAnswer(c.target.Key())
	require.Equal(t, 2, c.heard)
}

// BUDGET: an error of the target's own cleared the request that crashes targets each time.
func TestErrorOfATargetClearsNoCrashSuspect(t *testing.T) {
	for _, result := range []result{failed, answered} {
		c := newSilentCall(t)
		a := &edge.AuthorizedCall{Call: &edge.Call{ID: "r", Method: "GET", URI: "/check/1"}}
		for i := range 3 {
			target := targets.Target{ID: fmt.Sprint("t-", i)}
			c.server.recordEvidence(t.Context(), a, bootclock.Now(), &outcome{target: &target, result: broken, err: targetconn.ErrBroken})
		}
		rejection, _ := c.server.Sender.Crashes.Check(a)
		require.NotNil(t, rejection)
		c.server.recordEvidence(t.Context(), a, bootclock.Now(), &outcome{target: &targets.Target{ID: "t-3"}, result: result})
		rejection, _ = c.server.Sender.Crashes.Check(a)
		require.Equal(t, result == failed, rejection != nil, result.String())
	}
}
