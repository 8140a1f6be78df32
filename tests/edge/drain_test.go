package edge_test

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// The last part of a request's body arrives when the stream cannot end in time any more.
func TestStreamSentToDrainingHostIsNotCut(t *testing.T) {
	f := newFleet(t)
	f.grace = 4 * time.Second
	f.configure()
	engine := f.startEngine(standin.NewEngines(), "e-1")
	h := f.startHost()
	body, rest := io.Pipe()
	r := generationRequest(t.Context(), h, "r-1", longGeneration)
	r.Body = body
	pending := sendAsync(r)
	_, err := rest.Write([]byte("pro"))
	require.NoError(t, err)
	h.stop()
	require.Eventually(t, func() bool { return !h.isReady() }, waitTimeout, checkInterval)
	time.Sleep(3100 * time.Millisecond)
	_, _ = rest.Write([]byte("mpt"))
	_ = rest.Close()
	a := <-pending
	if len(engine.Started()) > 0 {
		require.NoError(t, a.err, "the host sent the request to an engine and cut its stream")
		require.Equal(t, standin.StreamText("r-1", longGeneration), a.body)
	}
}
