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

func confirmer(source ConfirmFunc) *Confirmer {
	return New(slog.New(slog.DiscardHandler), func() time.Duration { return time.Hour }, source)
}

func TestConfirmationCountsFromItsBegin(t *testing.T) {
	var begun bootclock.Instant
	c := confirmer(func(context.Context) (bootclock.Instant, error) {
		begun = bootclock.Now()
		time.Sleep(50 * time.Millisecond)
		return begun, nil
	})
	require.True(t, c.EnsureFresh(t.Context(), time.Second, time.Second))
	require.Equal(t, begun, c.ConfirmedAt())
	require.GreaterOrEqual(t, c.Age(), 50*time.Millisecond)
}

func TestFailedConfirmationAdmitsNothing(t *testing.T) {
	c := confirmer(func(context.Context) (bootclock.Instant, error) { return 0, errors.New("store is away") })
	require.False(t, c.EnsureFresh(t.Context(), time.Hour, time.Second))
}

func TestEnsureGivesUpOnASlowSource(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	c := confirmer(func(context.Context) (bootclock.Instant, error) {
		<-release
		return bootclock.Now(), nil
	})
	began := time.Now()
	require.False(t, c.EnsureFresh(t.Context(), time.Second, 30*time.Millisecond))
	require.Less(t, time.Since(began), time.Second)
}

func TestManyWaitersMakeOneConfirmation(t *testing.T) {
	var calls atomic.Int32
	c := confirmer(func(context.Context) (bootclock.Instant, error) {
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

func TestNoteNeverStepsBack(t *testing.T) {
	c := confirmer(nil)
	now := bootclock.Now()
	c.RecordConfirmation(now)
	c.RecordConfirmation(now.Add(-time.Second))
	require.Equal(t, now, c.ConfirmedAt())
}
