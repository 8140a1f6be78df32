package freshness

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

func newConfirmer(confirm ConfirmFunc) *Confirmer {
	return New(slog.New(slog.DiscardHandler), func() time.Duration { return time.Hour }, confirm)
}

func TestConfirmationIsAsOldAsItsStart(t *testing.T) {
	var started bootclock.Instant
	c := newConfirmer(func(context.Context) (bootclock.Instant, error) {
		started = bootclock.Now()
		time.Sleep(50 * time.Millisecond)
		return started, nil
	})
	require.True(t, c.EnsureFresh(t.Context(), time.Second, time.Second))
	require.Equal(t, started, c.ConfirmedAt())
	require.GreaterOrEqual(t, c.Age(), 50*time.Millisecond)
}

func TestFailedConfirmationIsNotFresh(t *testing.T) {
	c := newConfirmer(func(context.Context) (bootclock.Instant, error) { return 0, errors.New("store is unreachable") })
	require.False(t, c.EnsureFresh(t.Context(), time.Hour, time.Second))
}

func TestEnsureFreshGivesUpOnASlowConfirmation(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	c := newConfirmer(func(context.Context) (bootclock.Instant, error) {
		<-release
		return bootclock.Now(), nil
	})
	started := time.Now()
	require.False(t, c.EnsureFresh(t.Context(), time.Second, 30*time.Millisecond))
	require.Less(t, time.Since(started), time.Second)
}

func TestConcurrentWaitersShareOneConfirmation(t *testing.T) {
	var calls atomic.Int32
	c := newConfirmer(func(context.Context) (bootclock.Instant, error) {
		calls.Add(1)
		time.Sleep(30 * time.Millisecond)
		return bootclock.Now(), nil
	})
	done := make(chan bool, 20)
	for range 20 {
		go func() { done <- c.EnsureFresh(t.Context(), time.Second, time.Second) }()
	}
	for range 20 {
		require.True(t, <-done)
	}
	require.Equal(t, int32(1), calls.Load())
}

func TestRecordConfirmationIgnoresOlderOnes(t *testing.T) {
	c := newConfirmer(nil)
	now := bootclock.Now()
	c.RecordConfirmation(now)
	c.RecordConfirmation(now.Add(-time.Second))
	require.Equal(t, now, c.ConfirmedAt())
}

// While a store rejected calls at once, each request made another one.
func TestRequestsDoNotConfirmAgainRightAfterAFailure(t *testing.T) {
	var calls atomic.Int32
	c := newConfirmer(func(context.Context) (bootclock.Instant, error) {
		calls.Add(1)
		return 0, errors.New("rejected")
	})
	started := time.Now()
	for time.Since(started) < 3*requestRetryPause {
		require.False(t, c.EnsureFresh(t.Context(), time.Second, time.Second))
		time.Sleep(time.Millisecond)
	}
	require.LessOrEqual(t, calls.Load(), int32(4))
	time.Sleep(requestRetryPause)
	before := calls.Load()
	c.EnsureFresh(t.Context(), time.Second, time.Second)
	require.Equal(t, before+1, calls.Load())
}
