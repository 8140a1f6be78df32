package targets

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetnotice"
)

// fakeWarmup holds how long it takes until a cold target may be sent a request, and the rate.
type fakeWarmup map[string]struct {
	left      time.Duration
	perSecond float64
}

func (f fakeWarmup) AnyCold(bootclock.Instant) bool                    { return len(f) > 0 }
func (f fakeWarmup) IsCold(key string, _ bootclock.Instant) bool       { _, ok := f[key]; return ok }
func (f fakeWarmup) Take(key string, _ bool, _ bootclock.Instant) bool { return f[key].left == 0 }
func (f fakeWarmup) Left(key string, _ bool, _ bootclock.Instant) (time.Duration, float64) {
	return f[key].left, f[key].perSecond
}

func keys(ts []*Target) []string {
	var out []string
	for _, t := range ts {
		out = append(out, t.ID)
	}
	return out
}

// Requests take other targets while a cold one has no permit. If all are cold, they wait or are told
// when there will be room.
func TestColdTargetsAreUsedWhileThereIsAPermit(t *testing.T) {
	stated, cold := targetnotice.New(), fakeWarmup{}
	stated.Warmup = cold
	r := New(stated, func(Target, LeavingNotice) {})
	for _, id := range []string{"a", "b"} {
		r.Apply([]Change{{Name: id, Target: &Target{ID: id, Service: "s", Slots: 6}}}, 1)
	}
	set := func(key string, left time.Duration, perSecond float64) {
		cold[key] = struct {
			left      time.Duration
			perSecond float64
		}{left, perSecond}
	}
	require.False(t, r.View().TakesTurns("s"))
	set("a@0", 0, 4)
	require.Equal(t, []string{"a", "b"}, keys(r.View().Available("s")))
	require.Equal(t, []string{"a@0"}, r.View().Cold("s"))
	set("a@0", 300*time.Millisecond, 4)
	require.Equal(t, []string{"b"}, keys(r.View().Available("s")))
	require.Equal(t, []string{"a@0"}, r.View().Refusing("s"))
	require.True(t, r.View().WantsPause("a@0"), "a run that continues there waits")
	require.Equal(t, []string{"a", "b"}, keys(r.View().Unlimited("s")), "its reports are read")
	require.True(t, r.View().AcceptsWithin("s", 100, 0))
	_, refused := r.View().Refusal("s")
	require.False(t, refused)

	set("b@0", 200*time.Millisecond, 1)
	require.True(t, r.View().TakesTurns("s"))
	require.Empty(t, r.View().Cold("s"), "there is no other")
	refusal, refused := r.View().Refusal("s")
	require.True(t, refused)
	require.Equal(t, Refusal{Left: 200 * time.Millisecond, Limited: true}, refusal)
	require.True(t, r.View().AcceptsWithin("s", 3, time.Second))
	require.False(t, r.View().AcceptsWithin("s", 10, time.Second))

	set("b@0", 0, 1)
	refusal, refused = r.View().Refusal("s")
	require.True(t, refused, "a request that did not get the permit is told that targets are limited")
	require.Equal(t, Refusal{Limited: true}, refusal)

	set("a@0", 700*time.Millisecond, 0)
	set("b@0", 700*time.Millisecond, 0) // other hosts hold all shares
	require.True(t, r.View().AcceptsWithin("s", 1, time.Second), "this host may borrow one")
	require.False(t, r.View().AcceptsWithin("s", 1, 500*time.Millisecond))
	require.False(t, r.View().AcceptsWithin("s", maxShareless, time.Second))
}
