package process

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/platform"
)

// A hub counted as following a store that did not answer it, or rejected it, as long as its watch waited.
func TestStoreThatDoesNotServeTheHostIsSilent(t *testing.T) {
	answer := func(err error, took time.Duration) func(context.Context) error {
		return func(context.Context) error {
			time.Sleep(took)
			return err
		}
	}
	for name, c := range map[string]struct {
		calls  []func(context.Context) error
		silent bool
	}{
		"answers":           {[]func(context.Context) error{answer(nil, 0), answer(platform.ErrNotFound, 0)}, false},
		"slow":              {[]func(context.Context) error{answer(nil, storeSilence/2), answer(nil, storeSilence/2)}, false},
		"rejects one call":  {[]func(context.Context) error{answer(platform.ErrUnavailable, 0), answer(nil, storeSilence/2)}, false},
		"rejects all calls": {[]func(context.Context) error{answer(platform.ErrRateLimited, storeSilence/2), answer(platform.ErrRateLimited, storeSilence/2)}, true},
		"does not answer":   {[]func(context.Context) error{answer(platform.ErrUnavailable, 2*storeSilence)}, true},
		"takes long to send": {[]func(context.Context) error{func(ctx context.Context) error {
			platform.NoticeAnswer(ctx)
			return answer(nil, 2*storeSilence)(ctx)
		}}, false},
		"answers when asked": {[]func(context.Context) error{answer(platform.ErrUnavailable, storeSilence/2), answer(nil, 0), answer(platform.ErrUnavailable, storeSilence/2)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			silences := 0
			contact := &storeContact{onSilence: func(bootclock.Instant) { silences++ }}
			for _, call := range c.calls {
				_ = contact.observe(t.Context(), call)
			}
			require.Equal(t, c.silent, silences > 0)
		})
	}
}

// A host that was starved of the processor ended its watches, and with them those of all hosts behind it,
// although the answer had only to be read.
func TestStallOfTheHostIsNoSilenceOfTheStore(t *testing.T) {
	silences := 0
	contact := &storeContact{onSilence: func(bootclock.Instant) { silences++ }, stalled: func(bootclock.Instant) bool { return true }}
	require.NoError(t, contact.observe(t.Context(), func(context.Context) error {
		time.Sleep(storeSilence * 5 / 4)
		return nil
	}))
	require.Zero(t, silences)
	_ = contact.observe(t.Context(), func(context.Context) error {
		time.Sleep(storeSilence * 5 / 4)
		return platform.ErrUnavailable
	})
	require.Equal(t, 1, silences, "the call has failed in the end")
}
