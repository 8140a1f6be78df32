package streaming

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/targetspeed"
)

// Pauses that the engine's speed does not cause must not count: those of a preempted run and those for
// a caller that reads slowly. Bunches of events must not change the mean.
func TestSpeedMeterLeavesOutPausesOfOtherCauses(t *testing.T) {
	const ms = bootclock.Instant(time.Millisecond)
	for name, c := range map[string]struct {
		written, now bootclock.Instant
		events       int
		want         speedMeter
	}{
		"event":        {written: 1 * ms, now: 40 * ms, events: 1, want: speedMeter{140 * time.Millisecond, 3}},
		"bunch":        {written: 1 * ms, now: 800 * ms, events: 20, want: speedMeter{900 * time.Millisecond, 22}},
		"preempted":    {written: 1 * ms, now: 800 * ms, events: 1, want: speedMeter{100 * time.Millisecond, 2}},
		"slow caller":  {written: 35 * ms, now: 40 * ms, events: 1},
		"bunch at 0ms": {written: 0, now: 0, events: 3, want: speedMeter{100 * time.Millisecond, 5}},
	} {
		t.Run(name, func(t *testing.T) {
			m := speedMeter{100 * time.Millisecond, 2}
			m.add(0, c.written, c.now, c.events)
			require.Equal(t, c.want, m)
		})
	}
}

// A host that was stalled itself must not report the engine as slow, nor one that leaves.
func TestOwnStallsAndLeavingEnginesDoNotCountForSpeed(t *testing.T) {
	registry := targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {})
	s := &Server{Stalls: &stall.Detector{}, Targets: registry, Inflight: inflight.New("host")}
	from, now := bootclock.Now(), bootclock.Now().Add(time.Second)
	require.True(t, s.countsForSpeed("e@0", from, now))
	registry.Apply([]targets.Change{{Name: "e", Target: &targets.Target{ID: "e", Service: "s"}}}, 1)
	registry.MarkLeaving("e@0", "test")
	require.False(t, s.countsForSpeed("e@0", from, now))
	s.Stalls.Beat(from)
	s.Stalls.Beat(now)
	require.False(t, s.countsForSpeed("other@0", from, now))
}

// The events of a run must reach the tracker: engines whose runs get them more slowly become slow.
func TestEventsOfRunsAreSamples(t *testing.T) {
	const pace = 40 * time.Millisecond
	registry := targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {})
	names := []string{"a", "b", "c"}
	s := &Server{Stalls: &stall.Detector{}, Targets: registry, Inflight: inflight.New("host")}
	s.Speeds = targetspeed.New(func() []targetspeed.Service {
		return []targetspeed.Service{{Name: "s", Targets: []string{"a@0", "b@0", "c@0"}}}
	}, nil)
	for i, name := range names {
		gap := pace
		if i == 2 {
			gap *= 4
		}
		r := &Run{server: s, forwardedAt: bootclock.Now(), call: &edge.AuthorizedCall{Service: &policy.Service{Name: "s", Engine: &policy.Engine{TokensPerEvent: 4}}}}
		for n := range 100 {
			before := r.forwardedAt
			r.forwardedAt = before.Add(gap)
			r.lastEventAt.Store(int64(before))
			r.measureSpeed(&segment{target: &targets.Target{ID: name, Service: "s"}}, before, 1, n == 0)
		}
	}
	require.Greater(t, s.Speeds.Slowness("c@0"), 2.5)
	require.Equal(t, 1.0, s.Speeds.Slowness("a@0"))
}
