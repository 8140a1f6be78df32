package edge_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/requestlog"
	"corianderhitch/platform/standin"
)

// requestTimeline waits until a host has logged the end of a request and returns its timeline.
func requestTimeline(t *testing.T, h *host, id string) string {
	t.Helper()
	var out bytes.Buffer
	require.Eventually(t, func() bool {
		reader := requestlog.NewReader(id)
		require.NoError(t, reader.Read("host", strings.NewReader(h.logs.String())))
		timeline := reader.Timeline()
		out.Reset()
		timeline.Write(&out)
		return len(timeline.Lines) > 0 && !timeline.MissingEnd
	}, waitTimeout, checkInterval)
	return out.String()
}

// For each kind of failed request, the logs alone must name the injected cause.
func TestRequestLogNamesCause(t *testing.T) {
	t.Run("rejected by the target", func(t *testing.T) {
		_, h, targets := startPlainFleet(t, 1)
		targets[0].SetHandler(standin.Reject)
		require.Equal(t, http.StatusServiceUnavailable, send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil)).status)
		text := requestTimeline(t, h, "r-1")
		require.Contains(t, text, "reason=target_full")
		require.Contains(t, text, "result=rejected")
		require.Contains(t, text, "target=d-1")
	})
	t.Run("rejected because there is no target", func(t *testing.T) {
		f := newFleet(t)
		f.configure()
		h := f.startHost()
		sentAt := time.Now()
		require.Equal(t, http.StatusServiceUnavailable, send(generationRequest(t.Context(), h, "r-1", shortGeneration)).status)
		require.Less(t, time.Since(sentAt), 500*time.Millisecond, "must be rejected at once")
		text := requestTimeline(t, h, "r-1")
		require.Contains(t, text, "reason=no_target")
		require.Contains(t, text, "engines=0")
	})
	t.Run("stream broken by a crash", func(t *testing.T) {
		_, h, engines := startEngineFleet(t, 1)
		pending := sendAsync(generationRequest(t.Context(), h, "r-1", longGeneration))
		<-engines[0].FirstRun()
		require.Eventually(t, func() bool { return engines[0].EventsProduced("r-1") >= 20 }, waitTimeout, checkInterval)
		engines[0].Crash()
		require.Error(t, (<-pending).err)
		text := requestTimeline(t, h, "r-1")
		require.Contains(t, text, "reason=broken_off")
		require.Contains(t, text, "target=e-1")
		require.NotContains(t, text, "migration:", "nothing announced that the engine was leaving")
	})
	t.Run("outcome unknown because the target closed the connection", func(t *testing.T) {
		_, h, targets := startPlainFleet(t, 1)
		targets[0].SetHandler(closeWithoutAnswer)
		require.Equal(t, http.StatusBadGateway, send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil)).status)
		text := requestTimeline(t, h, "r-1")
		require.Contains(t, text, "reason=may_have_run")
		require.Contains(t, text, "result=broken")
		require.Contains(t, text, "EOF")
	})
}
