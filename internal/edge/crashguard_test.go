package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/quarantine"
)

func newCall(id string, parts ...string) *edge.AuthorizedCall {
	g := &edge.GenerationRequest{PromptTokens: 100}
	for _, p := range append(parts, "own-"+id) {
		g.Prefix = append(g.Prefix, edge.PrefixPart{ID: p, Tokens: 10})
	}
	return &edge.AuthorizedCall{Call: &edge.Call{ID: id, Method: http.MethodPost, URI: "/draft/x", Body: []byte(id), Generation: g}}
}

// crashTargets reports crashes of n targets under a part, the last one now.
func crashTargets(tracker *quarantine.Tracker, part string, n int) {
	now := quarantine.Instant(bootclock.Now())
	for i := range n {
		at := now - time.Duration(n-1-i)*300*time.Millisecond
		tracker.ReportFailure(now, at, fmt.Sprint("target-", i), []quarantine.Key{quarantine.Part("first"), quarantine.Part(part)})
	}
}

func TestHeldCallsAreRejectedAsNotRun(t *testing.T) {
	t.Parallel()
	guard := &edge.CrashGuard{Tracker: quarantine.New("host", nil), OnEvidence: func() {}}
	crashTargets(guard.Tracker, "g", 4)
	rejection, key := guard.Check(newCall("a", "first", "g"))
	require.Equal(t, "part:g", key)
	require.Equal(t, http.StatusServiceUnavailable, rejection.Status)
	require.Equal(t, edge.ReasonCrashSuspect, rejection.Reason)
	require.Positive(t, rejection.RetryAfter)
	require.LessOrEqual(t, rejection.RetryAfter, time.Minute)
	rejection, _ = guard.Check(newCall("b", "first", "other"))
	require.Nil(t, rejection)
	rejection, _ = guard.Check(newCall("c", "first", "other", "first2"))
	require.Nil(t, rejection)
	rejection, _ = (*edge.CrashGuard)(nil).Check(newCall("a", "g"))
	require.Nil(t, rejection)
}

func TestLastPartOfPromptIsNoSharedKey(t *testing.T) {
	t.Parallel()
	guard := &edge.CrashGuard{Tracker: quarantine.New("host", nil), OnEvidence: func() {}}
	crashTargets(guard.Tracker, "own-a", 4)
	rejection, _ := guard.Check(newCall("a", "first"))
	require.Nil(t, rejection)
}

func TestWaitEndsWhenCallBecomesHeld(t *testing.T) {
	t.Parallel()
	guard := &edge.CrashGuard{OnEvidence: func() {}}
	guard.Tracker = quarantine.New("host", func(quarantine.Change) { guard.EndHeldWaits() })
	guilty, endGuilty := guard.EndWaitWhenHeld(t.Context(), newCall("a", "first", "g"))
	defer endGuilty()
	sound, endSound := guard.EndWaitWhenHeld(t.Context(), newCall("b", "first", "s"))
	defer endSound()
	crashTargets(guard.Tracker, "g", 3)
	require.NoError(t, guilty.Err())
	crashTargets(guard.Tracker, "g", 4)
	require.Error(t, guilty.Err())
	require.NoError(t, sound.Err())
}

// A check that finds a key newly held reports a change, which ends waits, which checks again.
func TestChangeFoundWhileEndingWaitsDoesNotBlock(t *testing.T) {
	t.Parallel()
	guard := &edge.CrashGuard{OnEvidence: func() {}}
	guard.Tracker = quarantine.New("host", func(quarantine.Change) { guard.EndHeldWaits() })
	wait, end := guard.EndWaitWhenHeld(t.Context(), newCall("a", "first", "g"))
	defer end()
	old := quarantine.Instant(bootclock.Now()) - time.Minute
	keys := []quarantine.Key{quarantine.Part("first"), quarantine.Part("g")}
	guard.Tracker.ReportFailure(old, old, "target-x", keys)
	guard.Tracker.ReportSurvival(old+1, old+1, old+1, "target-y", keys)
	crashTargets(guard.Tracker, "g", 5) // count once they are settled
	require.NoError(t, wait.Err())
	time.Sleep(1600 * time.Millisecond)
	guard.EndHeldWaits()
	require.Error(t, wait.Err())
}

// BUDGET: each form of the host's name would have to end three targets by itself.
func TestRepeatedCallIsHeldBackWhateverTheFormOfItsHost(t *testing.T) {
	t.Parallel()
	call := func(host, route string) *edge.AuthorizedCall {
		return &edge.AuthorizedCall{Call: &edge.Call{Method: http.MethodGet, Host: host, URI: "/check/1"}, Route: &policy.Route{Host: route}, Account: "a"}
	}
	guard := &edge.CrashGuard{Tracker: quarantine.New("host", nil), OnEvidence: func() {}}
	for i, host := range []string{"desk.example", "Desk.Example", "desk.example:80"} {
		guard.ReportFailure(call(host, "desk.example"), fmt.Sprint("t-", i), nil)
	}
	rejection, _ := guard.Check(call("DESK.EXAMPLE", "desk.example"))
	require.NotNil(t, rejection)
	rejection, _ = guard.Check(call("other.example", "other.example"))
	require.Nil(t, rejection)
}
