package forwarding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

func at(seconds float64) bootclock.Instant { return bootclock.Instant(seconds * float64(time.Second)) }

// detector returns a detector and how often it changed.
func detector() (*Detector, *int) {
	changes := 0
	return NewDetector(func(bool, Evidence) { changes++ }), &changes
}

func TestHostThatReachesNoTargetIsCutOff(t *testing.T) {
	d, changes := detector()
	d.ObserveOpening("a", false, 15, at(1))
	d.ObserveOpening("a", false, 15, at(1.1))
	d.ObserveOpening("b", false, 15, at(1.2))
	require.False(t, d.CutOff(), "two targets may be down")
	d.ObserveOpening("c", false, 15, at(1.3))
	require.True(t, d.CutOff())
	d.ObserveOpening("d", true, 15, at(1.4))
	require.True(t, d.CutOff(), "probes show when the cut has ended")
	require.Equal(t, cutProbes, d.ProbesDue(0, at(1.41)), "and come at once")
	d.ObserveProbe(Evidence{Reached: 1, Unreachable: 1}, at(2))
	require.True(t, d.CutOff())
	d.ObserveProbe(Evidence{Reached: 2}, at(2))
	require.False(t, d.CutOff())
	require.Equal(t, 2, *changes)
}

func TestTargetsThatAreDownAreNoCut(t *testing.T) {
	for name, play := range map[string]func(d *Detector){
		"one that is asked often": func(d *Detector) { fail(d, 1, "a", "a", "a", "a") },
		"others can be reached":   func(d *Detector) { fail(d, 1, "a", "b"); d.ObserveOpening("c", true, 15, at(2)); fail(d, 2, "d", "e") },
		"long ago":                func(d *Detector) { fail(d, 1, "a", "b"); fail(d, 4, "c", "d") },
		"a probe reaches some": func(d *Detector) {
			fail(d, 1, "a", "b")
			d.ObserveProbe(Evidence{Reached: 1, Unreachable: 2}, at(2))
			fail(d, 1.5, "c")
		},
		"nothing could be probed":  func(d *Detector) { d.ObserveProbe(Evidence{}, at(2)) },
		"silent, but reachable":    func(d *Detector) { d.ProbesDue(time.Second, at(1)); d.ObserveProbe(Evidence{Reached: 3}, at(2)) },
		"two of fifteen, together": func(d *Detector) { fail(d, 1, "a", "b") },
	} {
		t.Run(name, func(t *testing.T) {
			d, changes := detector()
			play(d)
			require.False(t, d.CutOff())
			require.Zero(t, *changes)
		})
	}
}

func fail(d *Detector, second float64, targets ...string) {
	for _, target := range targets {
		d.ObserveOpening(target, false, 15, at(second))
	}
}

func TestFewTargetsSufficeIfThereAreNoMore(t *testing.T) {
	d, _ := detector()
	d.ObserveOpening("a", false, 2, at(1))
	require.False(t, d.CutOff())
	d.ObserveOpening("b", false, 2, at(1))
	require.True(t, d.CutOff())
	d, _ = detector()
	d.ObserveOpening("a", false, 1, at(1))
	require.True(t, d.CutOff(), "another host may reach the only target")
}

func TestProbesAreFew(t *testing.T) {
	d, _ := detector()
	count := func(silence time.Duration, from, to float64) int {
		n := 0
		for s := from; s < to; s += 0.1 {
			n += d.ProbesDue(silence, at(s))
		}
		return n
	}
	require.Zero(t, count(suspiciousSilence/2, 1, 5))
	require.Equal(t, 4*suspectedProbes, count(suspiciousSilence, 5, 9))
	fail(d, 9, "a")
	require.LessOrEqual(t, count(0, 9.1, 19), 2*suspectedProbes, "a failure is forgotten")
	d.ObserveProbe(Evidence{Unreachable: 3}, at(20))
	require.True(t, d.CutOff())
	require.InDelta(t, 4*cutProbes, count(0, 20, 22), cutProbes)
	require.InDelta(t, 5*cutProbes, count(0, 40, 50), cutProbes)
}
