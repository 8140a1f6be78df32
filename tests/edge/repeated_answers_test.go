package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// Guards against streams that go on from the memory of others: an engine writes its answers to control calls once more,
// where the next ones are expected, and crashes.
func TestStreamsGoOnFromTheirOwnMemory(t *testing.T) {
	t.Parallel()
	const streams, events = 8, 900
	_, h, engines := startEngineFleet(t, 3)
	for _, e := range engines {
		e.AilCalls(standin.AnswersRepeated, 1)
	}
	pending := make(map[string]<-chan answer)
	for n := range streams {
		id := fmt.Sprintf("r-%d", n)
		pending[id] = sendAsync(generationRequest(t.Context(), h, id, events))
	}
	copied := func() int { return strings.Count(h.logs.String(), `"msg":"backup: replication finished"`) }
	require.Eventually(t, func() bool { return copied() >= streams }, waitTimeout, checkInterval)
	time.Sleep(500 * time.Millisecond)
	for _, e := range engines[:2] {
		e.AilCalls("", 0)
	}
	engines[0].Crash()
	whole := 0
	for id, p := range pending {
		a := <-p
		want := standin.StreamText(id, events)
		assert.True(t, strings.HasPrefix(want, a.body), "%s got events of another request", id)
		if a.err == nil && a.body == want {
			whole++
		}
	}
	assert.Equal(t, streams, whole, "streams that were cut although their memory was copied")
}
