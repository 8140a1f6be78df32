package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/platform"
)

// A hub counted as following a store that did not answer it, or rejected it, as long as its watch waited.
func TestStoreThatDoesNotServeTheHostIsSilent(t *testing.T) {
	answer := func(err error, took time.Duration) func() error {
		return func() error {
			time.Sleep(took)
			return err
		}
	}
	for name, c := range map[string]struct {
		calls  []func() error
		silent bool
	}{
		"answers":            {[]func() error{answer(nil, 0), answer(platform.ErrNotFound, 0)}, false},
		"slow":               {[]func() error{answer(nil, storeSilence/2), answer(nil, storeSilence/2)}, false},
		"rejects one call":   {[]func() error{answer(platform.ErrUnavailable, 0), answer(nil, storeSilence/2)}, false},
		"rejects all calls":  {[]func() error{answer(platform.ErrRateLimited, storeSilence/2), answer(platform.ErrRateLimited, storeSilence/2)}, true},
		"does not answer":    {[]func() error{answer(platform.ErrUnavailable, 2*storeSilence)}, true},
		"answers when asked": {[]func() error{answer(platform.ErrUnavailable, storeSilence/2), answer(nil, 0), answer(platform.ErrUnavailable, storeSilence/2)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			silences := 0
			contact := &storeContact{onSilence: func(bootclock.Instant) { silences++ }}
			for _, call := range c.calls {
				_ = contact.observe(call)
			}
			require.Equal(t, c.silent, silences > 0)
		})
	}
}
