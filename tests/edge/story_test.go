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

// tell returns a request's story from the logs of a host.
func tell(t *testing.T, h *host, id string) string {
	t.Helper()
	var out bytes.Buffer
	require.Eventually(t, func() bool {
		reader := requestlog.NewReader(id)
		require.NoError(t, reader.Read("host", strings.NewReader(h.logs.String())))
		s := reader.Timeline()
		out.Reset()
		s.Write(&out)
		return len(s.Lines) > 0 && !s.MissingEnd
	}, waitFor, checkEvery)
	return out.String()
}

// The logs alone name the cause that was injected for each kind of failed request.
func TestStoryNamesTheCause(t *testing.T) {
	t.Run("refused because the target rejected it", func(t *testing.T) {
		_, h, desks := deskFleet(t, 1)
		desks[0].SetHandler(standin.Reject)
		require.Equal(t, http.StatusServiceUnavailable, send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil)).status)
		text := tell(t, h, "r-1")
		require.Contains(t, text, "reason=target_full")
		require.Contains(t, text, "result=rejected")
		require.Contains(t, text, "target=d-1")
	})
	t.Run("refused because there is no target", func(t *testing.T) {
		f := newFleet(t)
		f.configure()
		h := f.start()
		began := time.Now()
		require.Equal(t, http.StatusServiceUnavailable, send(draft(t.Context(), h, "r-1", shortDraft)).status)
		require.Less(t, time.Since(began), 500*time.Millisecond, "refused at once")
		text := tell(t, h, "r-1")
		require.Contains(t, text, "reason=no_target")
		require.Contains(t, text, "engines=0")
	})
	t.Run("stream broken off by a crash", func(t *testing.T) {
		_, h, all := engineFleet(t, 1)
		pending := async(draft(t.Context(), h, "r-1", longDraft))
		<-all[0].FirstRun()
		require.Eventually(t, func() bool { return all[0].EventsProduced("r-1") >= 20 }, waitFor, checkEvery)
		all[0].Crash()
		require.Error(t, (<-pending).err)
		text := tell(t, h, "r-1")
		require.Contains(t, text, "reason=broken_off")
		require.Contains(t, text, "target=e-1")
		require.NotContains(t, text, "migration:", "there was no notice")
	})
	t.Run("outcome unknown because the target closed the connection", func(t *testing.T) {
		_, h, desks := deskFleet(t, 1)
		desks[0].SetHandler(closing)
		require.Equal(t, http.StatusBadGateway, send(h.request(t.Context(), http.MethodPost, "hold", "r-1", nil)).status)
		text := tell(t, h, "r-1")
		require.Contains(t, text, "reason=may_have_run")
		require.Contains(t, text, "result=broken")
		require.Contains(t, text, "EOF")
	})
}
