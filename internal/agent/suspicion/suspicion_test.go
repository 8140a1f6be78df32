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

func crash(target string, fingerprint uint64, others ...uint64) control.Event {
	return control.Event{Kind: control.EventCrash, Target: target, Fingerprint: fingerprint, Beside: others}
}

func verdict(tracker *FleetTracker, at time.Time, fingerprint uint64) suspicion.Verdict {
	v, _ := tracker.Verdict(at, fingerprint)
	return v
}

func TestSecondCrashRejectsRequestAndClearsCoResidents(t *testing.T) {
	tracker := &FleetTracker{}
	tracker.Add(start, crash("e1", 1, 2, 3))
	for _, f := range []uint64{1, 2, 3} {
		require.Equal(t, suspicion.Spread, verdict(tracker, start, f))
	}
	require.Equal(t, suspicion.Clear, verdict(tracker, start, 9))
	later := start.Add(time.Minute)
	tracker.Add(later, crash("e2", 1, 4, 5))
	require.Equal(t, suspicion.Reject, verdict(tracker, later, 1))
	for _, f := range []uint64{2, 3, 4, 5} {
		require.Equal(t, suspicion.Clear, verdict(tracker, later, f), "co-resident %d", f)
	}
	_, remaining := tracker.Verdict(later, 1)
	require.Equal(t, suspicion.Retention-time.Minute, remaining)
	require.Equal(t, suspicion.Clear, verdict(tracker, later.Add(suspicion.Retention), 1))
}

func TestReportsFromSeveralGatewaysCountAsOneCrash(t *testing.T) {
	tracker := &FleetTracker{}
	tracker.Add(start, crash("e1", 1, 2))
	tracker.Add(start.Add(time.Second), crash("e1", 3))
	tracker.Add(start.Add(2*time.Second), crash("e1", 1))
	require.Equal(t, suspicion.Spread, verdict(tracker, start, 1))
	require.Equal(t, suspicion.Spread, verdict(tracker, start, 3))
}

func TestCompletionClearsSuspect(t *testing.T) {
	tracker := &FleetTracker{}
	tracker.Add(start, crash("e1", 1, 2))
	tracker.Add(start, control.Event{Kind: control.EventCleared, Fingerprint: 2})
	require.Equal(t, suspicion.Clear, verdict(tracker, start, 2))
	require.Equal(t, suspicion.Spread, verdict(tracker, start, 1))
}

func TestTwoCrashesWithTheSameRequestsRejectNone(t *testing.T) {
	tracker := &FleetTracker{}
	tracker.Add(start, crash("e1", 1, 2))
	tracker.Add(start.Add(time.Minute), crash("e2", 1, 2))
	require.Equal(t, suspicion.Isolate, verdict(tracker, start.Add(time.Minute), 1))
	require.Equal(t, suspicion.Isolate, verdict(tracker, start.Add(time.Minute), 2))
}

// TestCrashingRequestCostsAtMostTwoTargets retries a request that crashes every target it
// runs on. Its co-residents differ from crash to crash, so the request must be rejected
// after two crashes and no co-resident may ever be.
func TestCrashingRequestCostsAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tracker := &FleetTracker{}
		now, crashedTargets := start, 0
		lastCoResident := uint64(100)
		for i := range rapid.IntRange(2, 20).Draw(rt, "resends") {
			now = now.Add(time.Duration(rapid.IntRange(6, 20).Draw(rt, "pause")) * time.Second)
			if verdict(tracker, now, 1) == suspicion.Reject {
				continue
			}
			crashedTargets++
			others := make([]uint64, rapid.IntRange(0, 30).Draw(rt, "neighbours"))
			for j := range others {
				lastCoResident++
				others[j] = lastCoResident
			}
			tracker.Add(now, crash(fmt.Sprint("e", i), 1, others...))
		}
		if crashedTargets > 2 {
			rt.Fatalf("%d targets crashed", crashedTargets)
		}
		for f := uint64(101); f <= lastCoResident; f++ {
			if verdict(tracker, now, f) == suspicion.Reject {
				rt.Fatalf("co-resident %d is rejected", f)
			}
		}
	})
}

func TestLateRequestIsIsolatedBeforeItIsRejected(t *testing.T) {
	late := suspicion.Fingerprint(1, true)
	for name, event := range map[string]control.Event{"report about itself": crash("", late), "report about a co-resident": crash("", 2, late)} {
		tracker := &FleetTracker{}
		for i, target := range []string{"e1", "e2"} {
			event.Target = target
			tracker.Add(start.Add(time.Duration(i)*time.Millisecond), event)
		}
		require.Equal(t, suspicion.Isolate, verdict(tracker, start, late), name)
		event.Target = "e3"
		tracker.Add(start.Add(time.Second), event)
		require.Equal(t, suspicion.Reject, verdict(tracker, start.Add(time.Second), late), name)
	}
}

// An agent that starts later is told of earlier crashes: each counts from its own time,
// in any order, and beside what the agent has seen itself.
func TestRepairedCrashCountsFromItsOwnTime(t *testing.T) {
	tracker, old := &FleetTracker{}, crash("e1", 1, 2)
	tracker.Add(start, crash("e1", 1))
	old.Age = 20 * time.Minute
	tracker.Add(start, old)
	require.Equal(t, suspicion.Reject, verdict(tracker, start, 1), "two crashes of one target")
	require.Equal(t, suspicion.Clear, verdict(tracker, start, 2))
	_, remaining := tracker.Verdict(start, 1)
	require.Equal(t, 10*time.Minute, remaining)
	require.Equal(t, suspicion.Spread, verdict(tracker, start.Add(10*time.Minute), 1))
	require.Equal(t, suspicion.Clear, verdict(tracker, start.Add(suspicion.Retention), 1))
}

func TestRepairedCompletionClearsOnlyEarlierCrashes(t *testing.T) {
	for _, kind := range []control.EventKind{control.EventCleared, control.EventSurvived} {
		tracker, old := &FleetTracker{}, crash("e1", 1, 2)
		tracker.Add(start, crash("e2", 1))
		old.Age = 20 * time.Minute
		tracker.Add(start, old)
		tracker.Add(start, control.Event{Kind: kind, Fingerprint: 1, Age: 20 * time.Minute})
		tracker.Add(start, control.Event{Kind: kind, Fingerprint: 2, Age: 20*time.Minute + 10*time.Millisecond})
		require.Equal(t, suspicion.Spread, verdict(tracker, start, 1), "%s: a suspect of the later crash", kind)
		require.Equal(t, suspicion.Clear, verdict(tracker, start, 2), kind)
	}
}

// An agent that starts may hear of the completion before the repair brings the crashes.
func TestCompletionThatComesBeforeTheRepairOfItsCrashesIsForgotten(t *testing.T) {
	tracker := &FleetTracker{}
	tracker.Add(start, control.Event{Kind: control.EventCleared, Fingerprint: 1})
	for _, target := range []string{"e1", "e2"} {
		old := crash(target, 1)
		old.Age = time.Minute
		tracker.Add(start.Add(time.Second), old)
	}
	require.Equal(t, suspicion.Clear, verdict(tracker, start.Add(time.Second), 1))
}
