package observer

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
)

func TestPollWhoseConnectionBreaksIsTriedOnceMore(t *testing.T) {
	for _, c := range []struct {
		breaks int32
		want   Outcome
	}{{0, OutcomeAnswered}, {1, OutcomeAnswered}, {2, OutcomeUnreachable}} {
		var polls atomic.Int32
		target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if polls.Add(1) <= c.breaks {
				panic(http.ErrAbortHandler)
			}
		}))
		prober := NewProber(outbound.Dialer(""))
		sample, _ := prober.Poll(t.Context(), platform.Target{Kind: platform.TargetService, Address: target.Listener.Addr().String()}, 0)
		require.Equal(t, c.want, sample.Outcome)
		require.EqualValues(t, min(c.breaks+1, 2), polls.Load())
		prober.Close()
		target.Close()
	}
}
