package observer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/outbound"
	"corianderhitch/internal/platform"
)

func TestAnswerWithLargeHeadIsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		bytes int
		want  Outcome
	}{{maxHeadBytes / 2, OutcomeAnswered}, {2 * maxHeadBytes, OutcomeUnreachable}} {
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Filler", strings.Repeat("x", c.bytes))
		}))
		prober := NewProber(outbound.Dialer(""))
		sample, _ := prober.Poll(t.Context(), platform.Target{Name: "t", Kind: platform.TargetService, Address: target.Listener.Addr().String()}, 0)
		prober.Close()
		target.Close()
		require.Equal(t, c.want, sample.Outcome, "%d bytes", c.bytes)
	}
}
