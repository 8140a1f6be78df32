package targetnotice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

// fakeWarmup is a bound of sends to one target.
type fakeWarmup struct {
	left      time.Duration
	perSecond float64
	taken     int
}

func (f *fakeWarmup) AnyCold(bootclock.Instant) bool              { return true }
func (f *fakeWarmup) IsCold(key string, _ bootclock.Instant) bool { return key == "a@1" }
func (f *fakeWarmup) Left(key string, _ bool, now bootclock.Instant) (time.Duration, float64) {
	if !f.IsCold(key, now) {
		return 0, 0
	}
	return f.left, f.perSecond
}
func (f *fakeWarmup) Take(key string, _ bool, now bootclock.Instant) bool {
	if f.IsCold(key, now) && f.left > 0 {
		return false
	}
	f.taken++
	return true
}

// The failure guarded against: a target that is cold and names a limit gets what only one of both
// allows.
func TestTheLeastOfLimitAndWarmupHolds(t *testing.T) {
	cold := &fakeWarmup{perSecond: 5}
	tracker, now := New(), bootclock.Instant(time.Hour)
	tracker.Warmup = cold
	check := func(use Use) Verdict { return tracker.Check("a@1", use, now, now) }
	for _, use := range []Use{Request, Continuation, ForwardedRequest, ForwardedContinuation, Probe, CopyDestination, Control} {
		require.Equal(t, Allowed, check(use))
	}
	v, _ := tracker.Admit("a@1", Request, now, now)
	require.Equal(t, Allowed, v)
	v, _ = tracker.Admit("a@1", Continuation, now, now)
	require.Equal(t, Allowed, v)
	v, _ = tracker.Admit("a@1", ForwardedContinuation, now, now)
	require.Equal(t, Allowed, v)
	require.Equal(t, 2, cold.taken, "the host that asks for a forwarded send takes it from its own share")

	cold.left = time.Second
	require.Equal(t, Cold, check(Request))
	require.Equal(t, Cold, check(Continuation))
	for _, use := range []Use{ForwardedRequest, ForwardedContinuation, Probe, CopyDestination, Control} {
		require.Equal(t, Allowed, check(use))
	}
	v, trial := tracker.Admit("a@1", Request, now, now)
	require.Equal(t, Cold, v)
	require.Nil(t, trial)
	require.Equal(t, Allowed, tracker.Check("b@1", Request, now, now))

	tracker.ObserveLimit("a@1", now, Limit{Stated: true, PerSecond: 2})
	left, perSecond := tracker.PermitLeft("a@1", now.Add(time.Minute))
	require.Equal(t, time.Second, left)
	require.InDelta(t, limitUse*2, perSecond, 1e-9)
	cold.perSecond = 0 // other hosts hold all shares
	_, perSecond = tracker.PermitLeft("a@1", now.Add(time.Minute))
	require.Zero(t, perSecond)
	cold.left, cold.perSecond = 0, 50
	now = now.Add(time.Minute)
	taken := cold.taken
	v, _ = tracker.Admit("a@1", Request, now, now)
	require.Equal(t, Allowed, v)
	v, _ = tracker.Admit("a@1", Request, now, now)
	require.Equal(t, Limited, v)
	require.Equal(t, taken+1, cold.taken, "a send that the limit refuses takes nothing from the rate")
	_, perSecond = tracker.PermitLeft("a@1", now)
	require.InDelta(t, limitUse*2, perSecond, 1e-9)
}
