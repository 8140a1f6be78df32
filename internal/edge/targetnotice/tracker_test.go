package targetnotice

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

// at returns an instant in seconds after an arbitrary one.
func at(seconds float64) bootclock.Instant {
	return bootclock.Instant(time.Hour).Add(time.Duration(seconds * float64(time.Second)))
}

// admit returns the verdict on a send whose trial, if it is one, is answered at once.
func admit(tracker *Tracker, incarnation string, use Use, arrived, now bootclock.Instant) Verdict {
	v, trial := tracker.Admit(incarnation, use, arrived, now)
	tracker.EndTrial(trial, true)
	return v
}

func TestVerdictOnLeavingTarget(t *testing.T) {
	for name, c := range map[string]struct {
		use     Use
		arrived bootclock.Instant
		want    Verdict
	}{
		"request that arrived before":            {Request, at(9), Allowed},
		"request that arrived with the answer":   {Request, at(10), Allowed},
		"request that arrived after":             {Request, at(10.001), Leaving},
		"continuation that arrived before":       {Continuation, at(9), Allowed},
		"continuation that arrived after":        {Continuation, at(10.5), Leaving},
		"probe":                                  {Probe, 0, Leaving},
		"destination of a copy":                  {CopyDestination, 0, Leaving},
		"control call for a run that moves away": {Control, 0, Allowed},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New()
			require.True(t, tracker.ObserveLeaving("a@1", at(10)))
			require.False(t, tracker.ObserveLeaving("a@1", at(12)))
			require.Equal(t, c.want, admit(tracker, "a@1", c.use, c.arrived, at(13)))
			require.Equal(t, Allowed, admit(tracker, "a@2", c.use, c.arrived, at(13)), "a restarted target starts clean")
		})
	}
}

func TestEarlierAnswerThatIsObservedLaterCounts(t *testing.T) {
	tracker := New()
	tracker.ObserveLeaving("a", at(10))
	tracker.ObserveLeaving("a", at(9))
	require.Equal(t, Leaving, tracker.Check("a", Request, at(9.5), at(10)))
}

func TestVerdictOnPausedTarget(t *testing.T) {
	for name, c := range map[string]struct {
		use  Use
		now  bootclock.Instant
		want Verdict
	}{
		"request at once":               {Request, at(10), Paused},
		"request just before the end":   {Request, at(13.999), Paused},
		"request at the end":            {Request, at(14), Allowed},
		"probe":                         {Probe, at(11), Paused},
		"destination of a copy":         {CopyDestination, at(11), Paused},
		"control call for a run there":  {Control, at(11), Allowed},
		"run that continues there":      {Continuation, at(11), Allowed},
		"run that continues afterwards": {Continuation, at(15), Allowed},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New()
			until, began := tracker.ObservePause("a@1", at(10), 4*time.Second, 0)
			require.True(t, began)
			require.Equal(t, at(14), until)
			require.Equal(t, c.want, admit(tracker, "a@1", c.use, at(9), c.now))
			require.Equal(t, Allowed, admit(tracker, "a@2", c.use, at(9), c.now), "a restarted target starts clean")
		})
	}
}

func TestTwoRunsContinueInOnePause(t *testing.T) {
	tracker := New()
	tracker.ObservePause("a", at(0), 4*time.Second, 0)
	require.Equal(t, Allowed, tracker.Check("a", Continuation, at(0), at(1)), "a check is not counted")
	for _, want := range []Verdict{Allowed, Allowed, Paused} {
		require.Equal(t, want, admit(tracker, "a", Continuation, at(0), at(1)))
	}
	tracker.ObservePause("a", at(2), 4*time.Second, 0)
	require.Equal(t, Paused, admit(tracker, "a", Continuation, at(0), at(3)), "the first pause goes on within the second")
	tracker.ObservePause("a", at(7), time.Second, 0)
	require.Equal(t, Allowed, admit(tracker, "a", Continuation, at(0), at(7)))
}

func TestLongerPauseStands(t *testing.T) {
	tracker := New()
	tracker.ObservePause("a", at(0), 10*time.Second, 0)
	until, began := tracker.ObservePause("a", at(1), time.Second, 0)
	require.False(t, began)
	require.Equal(t, at(10), until)
	until, _ = tracker.ObservePause("a", at(9), 4*time.Second, 0)
	require.Equal(t, at(13), until)
}

func TestPauseEndsAtDifferentTimesAtDifferentHosts(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		draw  float64
		want  bootclock.Instant
	}{
		{2 * time.Second, 0, at(2)},
		{2 * time.Second, 0.5, at(2.25)},
		{time.Minute, 0.5, at(60.5)},
	} {
		until, _ := New().ObservePause("a", at(0), c.pause, c.draw)
		require.Equal(t, c.want, until)
	}
}

func TestRequestsAfterPauseFollowAnswerOfTrial(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(tracker *Tracker, trial *Trial)
		now  bootclock.Instant
		want Verdict
	}{
		"not answered yet":      {func(*Tracker, *Trial) {}, at(1.05), OnTrial},
		"not answered for long": {func(*Tracker, *Trial) {}, at(1).Add(trialTimeout), Allowed},
		"answered":              {func(tracker *Tracker, trial *Trial) { tracker.EndTrial(trial, true) }, at(1.05), Allowed},
		"lost":                  {func(tracker *Tracker, trial *Trial) { tracker.EndTrial(trial, false) }, at(1.05), Allowed},
		"rejected": {func(tracker *Tracker, trial *Trial) {
			tracker.ObservePause("a", at(1.02), time.Second, 0)
			tracker.EndTrial(trial, true)
		}, at(1.05), Paused},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New()
			tracker.ObservePause("a", at(0), time.Second, 0)
			v, trial := tracker.Admit("a", Request, at(0), at(1))
			require.Equal(t, Allowed, v)
			require.NotNil(t, trial)
			ended := tracker.TrialEnded()
			c.end(tracker, trial)
			require.Equal(t, c.want, tracker.Check("a", Request, at(1), c.now))
			require.Equal(t, c.want == OnTrial, tracker.TrialLeft("a", c.now) > 0)
			select {
			case <-ended:
			default:
				require.Contains(t, name, "not answered", "those who wait were not told")
			}
			for _, use := range []Use{Continuation, Probe, CopyDestination, Control} {
				if c.want == OnTrial {
					require.Equal(t, Allowed, tracker.Check("a", use, at(1), c.now))
				}
			}
		})
	}
}

func TestFirstRequestLongAfterPauseIsNoTrial(t *testing.T) {
	tracker := New()
	tracker.ObservePause("a", at(0), time.Second, 0)
	late := at(1).Add(trialWindow)
	require.False(t, tracker.AnyRestricted(late))
	_, trial := tracker.Admit("a", Request, at(0), late)
	require.Nil(t, trial)
}

func TestHugePauseIsBounded(t *testing.T) {
	tracker := New()
	until, _ := tracker.ObservePause("a", at(0), 1<<62, 0)
	require.Equal(t, at(0).Add(maxPause), until)
	require.Equal(t, Allowed, admit(tracker, "a", Request, at(0), until))
}

func TestMemoryIsBounded(t *testing.T) {
	tracker := New()
	tracker.ObservePause("ended", at(0), time.Second, 0)
	for i := range maxTargets {
		tracker.ObserveLeaving(strconv.Itoa(i), at(2+float64(i)))
	}
	require.Len(t, tracker.targets, maxTargets)
	require.True(t, tracker.IsLeaving("0"), "a pause that has ended is forgotten first")
	tracker.ObserveLeaving("last", at(2+maxTargets))
	require.Len(t, tracker.targets, maxTargets)
	require.False(t, tracker.IsLeaving("0"))
	require.True(t, tracker.IsLeaving("1"))
	require.True(t, tracker.IsLeaving("last"))
}
