package suspicion

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/api/control"
	"corianderhitch/internal/scheduling/suspicion"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func crash(target string, fingerprint uint64, beside ...uint64) control.Event {
	return control.Event{Kind: control.EventCrash, Target: target, Fingerprint: fingerprint, Beside: beside}
}

func verdict(r *FleetTracker, at time.Time, fingerprint uint64) suspicion.Verdict {
	v, _ := r.Verdict(at, fingerprint)
	return v
}

func TestSecondCrashRefusesAndExplainsTheNeighbours(t *testing.T) {
	r := &FleetTracker{}
	r.Add(start, crash("e1", 1, 2, 3))
	for _, f := range []uint64{1, 2, 3} {
		require.Equal(t, suspicion.Spread, verdict(r, start, f))
	}
	require.Equal(t, suspicion.Clear, verdict(r, start, 9))
	later := start.Add(time.Minute)
	r.Add(later, crash("e2", 1, 4, 5))
	require.Equal(t, suspicion.Reject, verdict(r, later, 1))
	for _, f := range []uint64{2, 3, 4, 5} {
		require.Equal(t, suspicion.Clear, verdict(r, later, f), "neighbour %d", f)
	}
	_, remaining := r.Verdict(later, 1)
	require.Equal(t, suspicion.Retention-time.Minute, remaining)
	require.Equal(t, suspicion.Clear, verdict(r, later.Add(suspicion.Retention), 1))
}

func TestReportsOfSeveralGatewaysAreOneCrash(t *testing.T) {
	r := &FleetTracker{}
	r.Add(start, crash("e1", 1, 2))
	r.Add(start.Add(time.Second), crash("e1", 3))
	r.Add(start.Add(2*time.Second), crash("e1", 1))
	require.Equal(t, suspicion.Spread, verdict(r, start, 1))
	require.Equal(t, suspicion.Spread, verdict(r, start, 3))
}

func TestCompletionClears(t *testing.T) {
	r := &FleetTracker{}
	r.Add(start, crash("e1", 1, 2))
	r.Add(start, control.Event{Kind: control.EventCleared, Fingerprint: 2})
	require.Equal(t, suspicion.Clear, verdict(r, start, 2))
	require.Equal(t, suspicion.Spread, verdict(r, start, 1))
}

func TestTwoTargetsKilledWithTheSameCompanyBlameNobody(t *testing.T) {
	r := &FleetTracker{}
	r.Add(start, crash("e1", 1, 2))
	r.Add(start.Add(time.Minute), crash("e2", 1, 2))
	require.Equal(t, suspicion.Isolate, verdict(r, start.Add(time.Minute), 1))
	require.Equal(t, suspicion.Isolate, verdict(r, start.Add(time.Minute), 2))
}

// TestOneCulpritCostsTwoTargets runs a request that crashes each target, among
// neighbours of which no two suspects share a target, resent as often as its
// caller likes.
func TestOneCulpritCostsTwoTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &FleetTracker{}
		now, lost := start, 0
		innocent := uint64(100)
		for i := range rapid.IntRange(2, 20).Draw(rt, "resends") {
			now = now.Add(time.Duration(rapid.IntRange(6, 20).Draw(rt, "pause")) * time.Second)
			if verdict(r, now, 1) == suspicion.Reject {
				continue
			}
			lost++
			beside := make([]uint64, rapid.IntRange(0, 30).Draw(rt, "neighbours"))
			for j := range beside {
				innocent++
				beside[j] = innocent
			}
			r.Add(now, crash(fmt.Sprint("e", i), 1, beside...))
		}
		if lost > 2 {
			rt.Fatalf("%d targets lost", lost)
		}
		for f := uint64(101); f <= innocent; f++ {
			if verdict(r, now, f) == suspicion.Reject {
				rt.Fatalf("innocent %d is refused", f)
			}
		}
	})
}

func TestLateDraftGetsATargetOfItsOwnBeforeItIsRefused(t *testing.T) {
	draft := suspicion.Fingerprint(1, true)
	for name, n := range map[string]control.Event{"its own news": crash("", draft), "news of another request": crash("", 2, draft)} {
		r := &FleetTracker{}
		for i, target := range []string{"e1", "e2"} {
			n.Target = target
			r.Add(start.Add(time.Duration(i)*time.Millisecond), n)
		}
		require.Equal(t, suspicion.Isolate, verdict(r, start, draft), name)
		n.Target = "e3"
		r.Add(start.Add(time.Second), n)
		require.Equal(t, suspicion.Reject, verdict(r, start.Add(time.Second), draft), name)
	}
}
