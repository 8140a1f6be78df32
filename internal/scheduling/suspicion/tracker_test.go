package suspicion

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestVerdicts(t *testing.T) {
	crash := func(id string, suspects ...uint64) Crash { return Crash{ID: id, At: start, Suspects: suspects} }
	for name, c := range map[string]struct {
		crashes  []Crash
		finished []uint64
		want     map[uint64]Verdict
	}{
		"none":                      {want: map[uint64]Verdict{1: Clear}},
		"one crash":                 {crashes: []Crash{crash("a", 1, 2)}, want: map[uint64]Verdict{1: Spread, 2: Spread, 3: Clear}},
		"sole suspect of one crash": {crashes: []Crash{crash("a", 1)}, want: map[uint64]Verdict{1: Spread}},
		"same crash reported twice": {crashes: []Crash{crash("a", 1), crash("a", 1, 2)}, want: map[uint64]Verdict{1: Spread, 2: Spread}},
		"own and remote report of one crash": {crashes: []Crash{
			{ID: "seen", Target: "x", At: start, Suspects: []uint64{1, 2}},
			{ID: "news", Target: "x", Remote: true, At: start.Add(time.Second), Suspects: []uint64{1, 2}},
		}, want: map[uint64]Verdict{1: Spread}},
		"two crashes of one target": {crashes: []Crash{
			{ID: "1", Target: "x", At: start, Suspects: []uint64{1, 2}},
			{ID: "2", Target: "x", At: start.Add(time.Second), Suspects: []uint64{1, 2}},
		}, want: map[uint64]Verdict{1: Isolate}},
		"sole common suspect":                  {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 3)}, want: map[uint64]Verdict{1: Reject, 2: Clear, 3: Clear}},
		"sole suspect of two crashes":          {crashes: []Crash{crash("a", 1), crash("b", 1)}, want: map[uint64]Verdict{1: Reject}},
		"two common suspects":                  {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 2)}, want: map[uint64]Verdict{1: Isolate, 2: Isolate}},
		"two common suspects, one completes":   {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 2)}, finished: []uint64{2}, want: map[uint64]Verdict{1: Reject, 2: Clear}},
		"two common suspects of three crashes": {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 2), crash("c", 1, 2)}, want: map[uint64]Verdict{1: Reject, 2: Reject}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for _, crash := range c.crashes {
				tracker.RecordCrash(crash)
			}
			for _, fingerprint := range c.finished {
				tracker.RecordCompletion(fingerprint, start)
			}
			for fingerprint, want := range c.want {
				require.Equalf(t, want, tracker.Verdict(fingerprint, start), "request %d", fingerprint)
			}
			for fingerprint := range c.want {
				require.Equalf(t, Clear, tracker.Verdict(fingerprint, start.Add(Retention+2*time.Second)), "request %d after the retention", fingerprint)
			}
		})
	}
}

// Guards against rejecting an innocent long request because two engines that share
// a rack crashed while they ran it.
func TestProgressedRequestIsIsolatedBeforeRejection(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(Crash{ID: "a", At: start, Suspects: []uint64{1, 2}, Progressed: []uint64{1}})
	tracker.RecordCrash(Crash{ID: "b", At: start, Suspects: []uint64{1, 3}})
	require.Equal(t, Isolate, tracker.Verdict(1, start), "sole common suspect of two crashes, but had produced tokens")
	tracker.RecordCrash(Crash{ID: "c", At: start, Suspects: []uint64{1}})
	require.Equal(t, Reject, tracker.Verdict(1, start), "crashed a target of its own")
}

func TestCompletionThatArrivesBeforeItsCrashIsForgotten(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCompletion(1, start.Add(time.Minute))
	tracker.RecordCrash(Crash{ID: "a", At: start, Suspects: []uint64{1, 2}})
	tracker.RecordCrash(Crash{ID: "b", At: start.Add(time.Second), Suspects: []uint64{1, 3}})
	require.Equal(t, Clear, tracker.Verdict(1, start.Add(time.Minute)), "has completed since")
	tracker.RecordCrash(Crash{ID: "c", At: start.Add(2 * time.Minute), Suspects: []uint64{1}})
	require.Equal(t, Spread, tracker.Verdict(1, start.Add(2*time.Minute)), "has not completed since")
	require.Equal(t, Spread, tracker.Verdict(2, start.Add(2*time.Minute)), "has never completed")
}

func TestCompletionsAreKeptInTheOrderOfTheirRecording(t *testing.T) {
	var c completions
	for n := range uint64(3 * maxRecentCompletions) {
		c.add(n, start.Add(time.Duration(n)))
	}
	require.True(t, c.isAfter(2*maxRecentCompletions, start))
	require.False(t, c.isAfter(maxRecentCompletions-1, start))
	require.LessOrEqual(t, len(c.recent)+len(c.earlier), 2*maxRecentCompletions)
	c.add(7, start.Add(time.Minute))
	c.add(7, start.Add(time.Second))
	require.True(t, c.isAfter(7, start.Add(2*time.Second)), "an earlier completion that arrives later changes nothing")
}

func TestShareCrash(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(Crash{ID: "1", At: start, Suspects: []uint64{1, 2}})
	tracker.RecordCrash(Crash{ID: "2", At: start, Suspects: []uint64{3}})
	require.True(t, tracker.ShareCrash(1, 2))
	require.False(t, tracker.ShareCrash(1, 3))
	require.False(t, tracker.ShareCrash(1, 1))
}

// A request that runs on past the point of a crash is cleared of it, also when a
// further report of that crash arrives later. After rejectSurvivorAfter crashes it is
// rejected even so: otherwise a request that crashes its targets a little later
// each time would never be rejected.
func TestSurvivorIsClearedUntilManyCrashes(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(Crash{ID: "a", At: start, Suspects: []uint64{1, 2}})
	tracker.RecordSurvival(1, start)
	tracker.RecordCrash(Crash{ID: "a", At: start, Suspects: []uint64{1}}) // a late report of the same crash
	require.Equal(t, Clear, tracker.Verdict(1, start))
	tracker.RecordCrash(Crash{ID: "b", At: start, Suspects: []uint64{1, 3}})
	require.Equal(t, Spread, tracker.Verdict(1, start), "after a crash that it survived and one that it did not")
	for i := range rejectSurvivorAfter - 2 {
		tracker.RecordSurvival(1, start)
		tracker.RecordCrash(Crash{ID: fmt.Sprint("c", i), At: start, Suspects: []uint64{1}})
	}
	require.Equal(t, Reject, tracker.Verdict(1, start), "after rejectSurvivorAfter crashes, all survived but the last")
}

// One crashing request among innocent ones, all placed as their verdicts demand,
// crashes at most two targets, and no innocent request is rejected.
func TestCrashingRequestCostsAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		const culprit = 1
		crashed := 0
		for round := range 30 {
			if tracker.Verdict(culprit, start) == Reject {
				break
			}
			residents := []uint64{culprit}
			for _, candidate := range rapid.SliceOfDistinct(rapid.Uint64Range(2, 9), rapid.ID[uint64]).Draw(t, "neighbours") {
				if mayJoin(tracker, residents, candidate) {
					residents = append(residents, candidate)
				}
			}
			crashed++
			tracker.RecordCrash(Crash{ID: fmt.Sprint(round), At: start, Suspects: residents})
		}
		require.LessOrEqual(t, crashed, 2)
		for innocent := uint64(2); innocent < 10; innocent++ {
			require.NotEqual(t, Reject, tracker.Verdict(innocent, start))
		}
	})
}

// mayJoin reports whether the verdicts let the candidate run on a target with the
// given residents.
func mayJoin(tracker *Tracker, residents []uint64, candidate uint64) bool {
	if tracker.Verdict(candidate, start) == Isolate {
		return false
	}
	for _, resident := range residents {
		if tracker.ShareCrash(resident, candidate) {
			return false
		}
	}
	return true
}

func BenchmarkVerdict(b *testing.B) {
	tracker := NewTracker()
	for i := range uint64(maxSuspectsPerCrash) {
		tracker.RecordCrash(Crash{ID: "1", At: start, Suspects: []uint64{i}})
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		tracker.Verdict(i%(2*maxSuspectsPerCrash), start)
	}
}
