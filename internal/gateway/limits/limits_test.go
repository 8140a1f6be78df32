package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/document"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// granted returns how many of ten requests at the given time are admitted.
func granted(l *Limiter, limits document.Limits, at time.Time) int {
	n := 0
	for range 10 {
		if release, err := l.Acquire("a", limits, at); err == nil {
			release()
			n++
		}
	}
	return n
}

func TestChangedLimitsRefillNoRate(t *testing.T) {
	for name, changed := range map[string]document.Limits{
		"other limit changed":      {RequestsPerSecond: 5, Concurrent: 9},
		"rate raised":              {RequestsPerSecond: 7},
		"rate lowered":             {RequestsPerSecond: 3},
		"rate lifted, other limit": {Concurrent: 9},
	} {
		t.Run(name, func(t *testing.T) {
			l, limits := New(), document.Limits{RequestsPerSecond: 5}
			require.Equal(t, 5, granted(l, limits, start))
			changedGrants := granted(l, changed, start)
			if changed.RequestsPerSecond > 0 {
				require.Zero(t, changedGrants, "the changed limits grant a burst")
			}
			require.Zero(t, granted(l, limits, start), "the limits of before grant a burst")
			require.Equal(t, 5, granted(l, limits, start.Add(time.Second)))
		})
	}
}

func TestConcurrentRequestsAreLimited(t *testing.T) {
	l, limits := New(), document.Limits{Concurrent: 1}
	release, err := l.Acquire("a", limits, start)
	require.NoError(t, err)
	_, err = l.Acquire("a", limits, start)
	require.Error(t, err)
	release()
	release()
	_, err = l.Acquire("a", limits, start)
	require.NoError(t, err)
	_, err = l.Acquire("a", limits, start)
	require.Error(t, err, "a second call of release has an effect")
}
