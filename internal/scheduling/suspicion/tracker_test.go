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
	crash := func(id string, ran ...uint64) Crash { return Crash{ID: id, At: start, Suspects: ran} }
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
			{ID: "seen", Target: "x", At: start, Suspects: []uint64{1, 2}},
			{ID: "news", Target: "x", Remote: true, At: start.Add(time.Second), Suspects: []uint64{1, 2}},
		}, want: map[uint64]Verdict{1: Spread}},
		"two crashes of one target": {crashes: []Crash{
			{ID: "1", Target: "x", At: start, Suspects: []uint64{1, 2}},
			{ID: "2", Target: "x", At: start.Add(time.Second), Suspects: []uint64{1, 2}},
		}, want: map[uint64]Verdict{1: Isolate}},
		"common cause":              {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 3)}, want: map[uint64]Verdict{1: Reject, 2: Clear, 3: Clear}},
		"alone twice":               {crashes: []Crash{crash("a", 1), crash("b", 1)}, want: map[uint64]Verdict{1: Reject}},
		"two in common":             {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 2)}, want: map[uint64]Verdict{1: Isolate, 2: Isolate}},
		"two in common, one clears": {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 2)}, finished: []uint64{2}, want: map[uint64]Verdict{1: Reject, 2: Clear}},
		"three in common":           {crashes: []Crash{crash("a", 1, 2), crash("b", 1, 2), crash("c", 1, 2)}, want: map[uint64]Verdict{1: Reject, 2: Reject}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for _, crash := range c.crashes {
				tracker.RecordCrash(crash)
			}
			for _, fingerprint := range c.finished {
				tracker.RecordCompletion(fingerprint)
			}
			for fingerprint, want := range c.want {
				require.Equalf(t, want, tracker.Verdict(fingerprint, start), "request %d", fingerprint)
			}
			for fingerprint := range c.want {
				require.Equalf(t, Clear, tracker.Verdict(fingerprint, start.Add(Retention+2*time.Second)), "request %d later", fingerprint)
			}
		})
	}
}

func TestARequestThatHadMadeTokensGetsATargetOfItsOwnFirst(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(Crash{ID: "a", At: start, Suspects: []uint64{1, 2}, Progressed: []uint64{1}})
	tracker.RecordCrash(Crash{ID: "b", At: start, Suspects: []uint64{1, 3}})
	require.Equal(t, Isolate, tracker.Verdict(1, start), "two engines of one rack died")
	tracker.RecordCrash(Crash{ID: "c", At: start, Suspects: []uint64{1}})
	require.Equal(t, Reject, tracker.Verdict(1, start), "died alone")
}

func TestTogether(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(Crash{ID: "1", At: start, Suspects: []uint64{1, 2}})
	tracker.RecordCrash(Crash{ID: "2", At: start, Suspects: []uint64{3}})
	require.True(t, tracker.ShareCrash(1, 2))
	require.False(t, tracker.ShareCrash(1, 3))
	require.False(t, tracker.ShareCrash(1, 1))
}

func TestARequestThatRanOnIsNotBlamed(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(Crash{ID: "a", At: start, Suspects: []uint64{1, 2}})
	tracker.RecordSurvival(1)
	tracker.RecordCrash(Crash{ID: "a", At: start, Suspects: []uint64{1}}) // late news of the same crash
	require.Equal(t, Clear, tracker.Verdict(1, start))
	tracker.RecordCrash(Crash{ID: "b", At: start, Suspects: []uint64{1, 3}})
	require.Equal(t, Spread, tracker.Verdict(1, start), "two unrelated deaths under one request are no proof")
	for i := range refuseNear - 2 {
		tracker.RecordSurvival(1)
		tracker.RecordCrash(Crash{ID: fmt.Sprint("c", i), At: start, Suspects: []uint64{1}})
	}
	require.Equal(t, Reject, tracker.Verdict(1, start), "a request may not crash its targets late for ever")
}

// One crashing request among innocent ones, placed as the verdicts ask, costs
// two targets at most, and no innocent request is refused.
func TestACrashingRequestCostsTwoTargetsAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		const culprit = 1
		lost := 0
		for round := range 30 {
			if tracker.Verdict(culprit, start) == Reject {
				break
			}
			ran := []uint64{culprit}
			for _, other := range rapid.SliceOfDistinct(rapid.Uint64Range(2, 9), rapid.ID[uint64]).Draw(t, "neighbours") {
				if mayJoin(tracker, ran, other) {
					ran = append(ran, other)
				}
			}
			lost++
			tracker.RecordCrash(Crash{ID: fmt.Sprint(round), At: start, Suspects: ran})
		}
		require.LessOrEqual(t, lost, 2)
		for innocent := uint64(2); innocent < 10; innocent++ {
			require.NotEqual(t, Reject, tracker.Verdict(innocent, start))
		}
	})
}

func mayJoin(tracker *Tracker, ran []uint64, other uint64) bool {
	if tracker.Verdict(other, start) == Isolate {
		return false
	}
	for _, resident := range ran {
		if tracker.ShareCrash(resident, other) {
			return false
		}
	}
	return true
}

func BenchmarkVerdict(b *testing.B) {
	tracker := NewTracker()
	for i := range uint64(maxFingerprints) {
		tracker.RecordCrash(Crash{ID: "1", At: start, Suspects: []uint64{i}})
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		tracker.Verdict(i%(2*maxFingerprints), start)
	}
}
