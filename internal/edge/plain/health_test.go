package plain

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/ejection"
	"corianderhitch/internal/edge/stall"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

func TestHostBlamesTargetForItsOwnFault(t *testing.T) {
	stopping, abort := context.WithCancelCause(t.Context())
	abort(edge.ErrStopping)
	left, cancel := context.WithCancel(t.Context())
	cancel()
	expired, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	stalled := &stall.Detector{}
	stalled.Beat(bootclock.Now().Add(-2 * time.Second))
	stalled.Beat(bootclock.Now())
	for name, c := range map[string]struct {
		ctx    context.Context
		stalls *stall.Detector
		result result
		err    error
		blamed bool
	}{
		"broken":                              {t.Context(), &stall.Detector{}, broken, targetconn.ErrBroken, true},
		"broken while the host was stalled":   {t.Context(), stalled, broken, targetconn.ErrBroken, false},
		"deadline":                            {expired, &stall.Detector{}, broken, targetconn.ErrBroken, true},
		"deadline while the host was stalled": {expired, stalled, broken, targetconn.ErrBroken, false},
		"the caller left a slow target":       {left, &stall.Detector{}, broken, targetconn.ErrBroken, true},
		"aborted at the end of the process":   {stopping, &stall.Detector{}, broken, targetconn.ErrBroken, false},
		"not reachable":                       {t.Context(), &stall.Detector{}, unsent, targetconn.ErrNotSent, true},
		"not sent, since the caller had left": {left, &stall.Detector{}, unsent, targetconn.ErrNotSent, false},
		"the target's error after a stall":    {t.Context(), stalled, failed, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Server{Health: ejection.New(), Stalls: c.stalls}
			target := &targets.Target{ID: "t"}
			s.recordHealth(c.ctx, &outcome{result: c.result, target: target, took: time.Second, err: c.err})
			require.Equal(t, c.blamed, s.Health.FailureCost(target.Key()) > ejection.New().FailureCost(target.Key()))
		})
	}
}

func TestLatencyOfTargetIncludesTheHostsOwnStall(t *testing.T) {
	stalled := &stall.Detector{}
	stalled.Beat(bootclock.Now().Add(-2 * time.Second))
	stalled.Beat(bootclock.Now())
	target := &targets.Target{ID: "t"}
	for name, before := range map[string]time.Duration{"first answer": 0, "later answer": 15 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := &Server{Health: ejection.New(), Stalls: stalled}
			if before > 0 {
				s.Health.RecordSuccess(target.Key(), before)
			}
			s.recordHealth(t.Context(), &outcome{result: answered, target: target, took: 1500 * time.Millisecond})
			require.Equal(t, before, s.Health.Latency(target.Key()).Round(time.Millisecond))
			s.Stalls = &stall.Detector{}
			s.recordHealth(t.Context(), &outcome{result: answered, target: target, took: 15 * time.Millisecond})
			require.Equal(t, 15*time.Millisecond, s.Health.Latency(target.Key()).Round(time.Millisecond))
		})
	}
}
