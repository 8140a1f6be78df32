package targetnotice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

// limitCase is a fleet that shares the limit of one target. Each host wants to send loadFactor
// times its share.
type limitCase struct {
	hosts      int
	perSecond  float64
	loadFactor float64
}

// share returns the Share of the host with the given number.
func (c limitCase) share(host int) func(string, int) float64 {
	return func(_ string, holders int) float64 {
		if holders = min(holders, c.hosts); host < holders {
			return 1 / float64(holders)
		}
		return 0
	}
}

// play returns the times of the sends of all hosts within a minute, sorted. Hosts hear of the
// limit at random times within the first second, and half of them pause for seconds at a time.
func (c limitCase) play(seed uint64) []bootclock.Instant {
	const step, duration = 10 * time.Millisecond, time.Minute
	random := rand.New(rand.NewPCG(seed, 1))
	trackers := make([]*Tracker, c.hosts)
	heard := make([]bootclock.Instant, c.hosts)
	for i := range trackers {
		trackers[i] = New()
		trackers[i].Share = c.share(i)
		heard[i] = bootclock.Instant(random.Int64N(int64(time.Second)))
	}
	var sends []bootclock.Instant
	perStep := c.loadFactor * c.perSecond / float64(c.hosts) * step.Seconds()
	for now := bootclock.Instant(0); now < bootclock.Instant(duration); now = now.Add(step) {
		for i, t := range trackers {
			if now >= heard[i] && now < heard[i].Add(step) {
				t.ObserveLimit("a", now, Limit{Stated: true, PerSecond: c.perSecond})
			}
			idle := i%2 == 0 && int(time.Duration(now)/(5*time.Second))%2 == 1
			if now < heard[i] || idle || random.Float64() >= perStep {
				continue
			}
			if v, _ := t.Admit("a", Request, now, now); v == Allowed {
				sends = append(sends, now)
			}
		}
	}
	return sends
}

// mostWithin returns the largest number of sends in a window.
func mostWithin(sends []bootclock.Instant, window time.Duration) int {
	most, first := 0, 0
	for last := range sends {
		for sends[last].Sub(sends[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// The platform allows one and a half times the limit in 4 s, and 5 requests. The hosts keep to
// it however many they are, after idle times too, and use most of the limit if they want to.
func TestFleetSharesTheLimitOfATarget(t *testing.T) {
	for _, c := range []limitCase{
		{1, 4.5, 10}, {6, 0.5, 20}, {6, 3.3, 10}, {6, 40, 3}, {6, 300, 1.5},
		{30, 3.3, 20}, {100, 4.5, 20}, {300, 1, 100}, {300, 3.3, 100}, {300, 0.3, 500}, {300, 60, 20}, {300, 600, 3},
	} {
		t.Run(fmt.Sprintf("%d hosts, %v a second", c.hosts, c.perSecond), func(t *testing.T) {
			for seed := range uint64(max(1, 5-c.hosts/60)) {
				sends := c.play(seed)
				require.LessOrEqual(t, float64(mostWithin(sends, 4*time.Second)), 1.5*4*c.perSecond+5, "seed %d", seed)
				require.GreaterOrEqual(t, float64(len(sends)), 0.4*60*c.perSecond-5, "seed %d: the target is starved", seed)
			}
		})
	}
}

func TestHostWithoutAShareOfTheLimitSendsNothing(t *testing.T) {
	tracker := New()
	tracker.Share = func(string, int) float64 { return 0 }
	tracker.ObserveLimit("a", at(0), Limit{Stated: true, PerSecond: 100})
	require.Equal(t, Limited, tracker.Check("a", Request, at(5), at(5)))
	require.Equal(t, Allowed, tracker.Check("b", Request, at(5), at(5)))
}

// A limit of 0 would never be lifted if no request reached the target.
func TestLimitOfZeroLeavesARequestInSomeSeconds(t *testing.T) {
	sends := limitCase{hosts: 6, perSecond: 0}.playPressing()
	require.LessOrEqual(t, mostWithin(sends, 4*time.Second), 5)
	require.GreaterOrEqual(t, len(sends), 5)
}

// playPressing is play with hosts that always want to send.
func (c limitCase) playPressing() []bootclock.Instant {
	var sends []bootclock.Instant
	trackers := make([]*Tracker, c.hosts)
	for i := range trackers {
		trackers[i] = New()
		trackers[i].Share = c.share(i)
		trackers[i].ObserveLimit("a", at(0), Limit{Stated: true, PerSecond: c.perSecond})
	}
	for now := at(0); now < at(60); now = now.Add(20 * time.Millisecond) {
		for _, t := range trackers {
			if v, _ := t.Admit("a", Request, now, now); v == Allowed {
				sends = append(sends, now)
			}
		}
	}
	return sends
}

func TestUsesOfATargetWhoseLimitIsUsedUp(t *testing.T) {
	tracker := New()
	tracker.ObserveLimit("a", at(0), Limit{Stated: true, PerSecond: 1})
	for range maxDebt + 1 {
		v, _ := tracker.Admit("a", Continuation, at(0), at(0))
		require.Equal(t, Allowed, v, "a run that continues from memory is lost otherwise")
	}
	for use, want := range map[Use]Verdict{Request: Limited, Probe: Limited, Continuation: Allowed, CopyDestination: Allowed, Control: Allowed} {
		require.Equal(t, want, tracker.Check("a", use, at(0), at(0)), "use %d", use)
	}
	require.Equal(t, Limited, tracker.Check("a", Request, at(2), at(2)), "continuations are taken from the limit")
	require.Equal(t, Allowed, tracker.Check("a", Request, at(4.5), at(4.5)))
}

func TestLimitChanges(t *testing.T) {
	limit := func(perSecond float64) Limit { return Limit{Stated: true, PerSecond: perSecond} }
	tracker := New()
	require.False(t, tracker.ObserveLimit("a", at(0), Limit{}).Changed)
	require.False(t, tracker.AnyLimited())
	require.True(t, tracker.ObserveLimit("a", at(1), limit(4)).Changed)
	require.False(t, tracker.ObserveLimit("a", at(2), limit(4)).Changed)
	require.Equal(t, limit(4), tracker.ObserveLimit("a", at(3), limit(2)).Previous)
	require.True(t, tracker.NamesLimit("a"))
	require.True(t, tracker.ObserveLimit("a", at(4), Limit{}).Changed)
	require.False(t, tracker.AnyLimited())
	require.Equal(t, Allowed, tracker.Check("a", Request, at(4), at(4)))
}

// A host that sends a target nothing hears from the others what the target states.
func TestHostsTellEachOtherOfLimits(t *testing.T) {
	stated := Limit{Stated: true, PerSecond: 4}
	a, b := New(), New()
	a.ObserveLimit("t", at(10), stated)
	notices := a.LimitNotices(at(11))
	require.Equal(t, []LimitNotice{{Incarnation: "t", Limit: stated, Age: time.Second}}, notices)
	require.Equal(t, notices, b.MergeLimits(notices, at(11)))
	require.True(t, b.NamesLimit("t"))
	require.Empty(t, b.MergeLimits(notices, at(11)), "nothing new")
	a.ObserveLimit("t", at(12), Limit{})
	require.Empty(t, a.MergeLimits(b.LimitNotices(at(12)), at(12)), "an older statement")
	require.Len(t, b.MergeLimits(a.LimitNotices(at(12)), at(12)), 1)
	require.False(t, b.AnyLimited())
	require.Empty(t, a.LimitNotices(at(20)))
	require.Empty(t, New().MergeLimits([]LimitNotice{{Incarnation: "u"}}, at(20)))
}
