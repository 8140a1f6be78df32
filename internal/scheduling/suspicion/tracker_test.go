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
	crash := func(id string, ran ...uint64) Crash { return Crash{ID: id, At: start, Beside: ran} }
	for name, c := range map[string]struct {
		crashes  []Crash
		finished []uint64
		want     map[uint64]Verdict
	}{
		"none":                   {want: map[uint64]Verdict{1: Clear}},
		"one crash":              {crashes: []Crash{crash("a", 1, 2)}, want: map[uint64]Verdict{1: Spread, 2: Spread, 3: Clear}},
		"alone once is no proof": {crashes: []Crash{crash("a", 1)}, want: map[uint64]Verdict{1: Spread}},
		"same news twice":        {crashes: []Crash{crash("a", 1), crash("a", 1, 2)}, want: map[uint64]Verdict{1: Spread, 2: Spread}},
		"one crash heard of twice": {crashes: []Crash{
			{ID: "seen", Target: "x", At: start, Beside: []uint64{1, 2}},
			{ID: "news", Target: "x", Heard: true, At: start.Add(time.Second), Beside: []uint64{1, 2}},
		}, want: map[uint64]Verdict{1: Spread}},
		"two crashes of one target": {crashes: []Crash{
			{ID: "1", Target: "x", At: start, Beside: []uint64{1, 2}},
			{ID: "2", Target: "x", At: start.Add(time.Second), Beside: []uint64{1, 2}},
		}, want: map[uint64]Verdict{1: Isolate}},
		"common cause":              {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 3)}, want: map[uint64]Verdict{1: Refuse, 2: Clear, 3: Clear}},
		"alone twice":               {crashes: []Crash{crash("a", 1), crash("b", 1)}, want: map[uint64]Verdict{1: Refuse}},
		"two in common":             {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 2)}, want: map[uint64]Verdict{1: Isolate, 2: Isolate}},
		"two in common, one clears": {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 2)}, finished: []uint64{2}, want: map[uint64]Verdict{1: Refuse, 2: Clear}},
		"three in common":           {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 2), crash("c", 1, 2)}, want: map[uint64]Verdict{1: Refuse, 2: Refuse}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for _, crash := range c.crashes {
				tracker.Record(crash)
			}
			for _, fingerprint := range c.finished {
				tracker.Finished(fingerprint)
			}
			for fingerprint, want := range c.want {
				require.Equalf(t, want, tracker.Verdict(fingerprint, start), "request %d", fingerprint)
			}
			for fingerprint := range c.want {
				require.Equalf(t, Clear, tracker.Verdict(fingerprint, start.Add(Memory+2*time.Second)), "request %d later", fingerprint)
			}
		})
	}
}

func TestARequestThatHadMadeTokensGetsATargetOfItsOwnFirst(t *testing.T) {
	tracker := NewTracker()
	tracker.Record(Crash{ID: "a", At: start, Beside: []uint64{1, 2}, Progressed: []uint64{1}})
	tracker.Record(Crash{ID: "b", At: start, Beside: []uint64{1, 3}})
	require.Equal(t, Isolate, tracker.Verdict(1, start), "two engines of one rack died")
	tracker.Record(Crash{ID: "c", At: start, Beside: []uint64{1}})
	require.Equal(t, Refuse, tracker.Verdict(1, start), "died alone")
}

func TestTogether(t *testing.T) {
	tracker := NewTracker()
	tracker.Record(Crash{ID: "1", At: start, Beside: []uint64{1, 2}})
	tracker.Record(Crash{ID: "2", At: start, Beside: []uint64{3}})
	require.True(t, tracker.Together(1, 2))
	require.False(t, tracker.Together(1, 3))
	require.False(t, tracker.Together(1, 1))
}

func TestARequestThatRanOnIsNotBlamed(t *testing.T) {
	tracker := NewTracker()
	tracker.Record(Crash{ID: "a", At: start, Beside: []uint64{1, 2}})
	tracker.Passed(1)
	tracker.Record(Crash{ID: "a", At: start, Beside: []uint64{1}}) // late news of the same crash
	require.Equal(t, Clear, tracker.Verdict(1, start))
	tracker.Record(Crash{ID: "b", At: start, Beside: []uint64{1, 3}})
	require.Equal(t, Spread, tracker.Verdict(1, start), "two unrelated deaths under one request are no proof")
	for i := range refuseNear - 2 {
		tracker.Passed(1)
		tracker.Record(Crash{ID: fmt.Sprint("c", i), At: start, Beside: []uint64{1}})
	}
	require.Equal(t, Refuse, tracker.Verdict(1, start), "a request may not crash its targets late for ever")
}

// One crashing request among innocent ones, placed as the verdicts ask, costs
// two targets at most, and no innocent request is refused.
func TestACrashingRequestCostsTwoTargetsAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		const culprit = 1
		lost := 0
		for round := range 30 {
			if tracker.Verdict(culprit, start) == Refuse {
				break
			}
			ran := []uint64{culprit}
			for _, other := range rapid.SliceOfDistinct(rapid.Uint64Range(2, 9), rapid.ID[uint64]).Draw(t, "neighbours") {
				if mayJoin(tracker, ran, other) {
					ran = append(ran, other)
				}
			}
			lost++
			tracker.Record(Crash{ID: fmt.Sprint(round), At: start, Beside: ran})
		}
		require.LessOrEqual(t, lost, 2)
		for innocent := uint64(2); innocent < 10; innocent++ {
			require.NotEqual(t, Refuse, tracker.Verdict(innocent, start))
		}
	})
}

func mayJoin(tracker *Tracker, ran []uint64, other uint64) bool {
	if tracker.Verdict(other, start) == Isolate {
		return false
	}
	for _, resident := range ran {
		if tracker.Together(resident, other) {
			return false
		}
	}
	return true
}

func BenchmarkVerdict(b *testing.B) {
	tracker := NewTracker()
	for i := range uint64(maxFingerprints) {
		tracker.Record(Crash{ID: "1", At: start, Beside: []uint64{i}})
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		tracker.Verdict(i%(2*maxFingerprints), start)
	}
}
