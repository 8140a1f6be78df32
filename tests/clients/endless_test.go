package clients

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

// generation are the header lines of a request for a stream.
const generation = headers.Model + ": m\r\n" + headers.TokenUsage + ": 1000,400\r\n" + headers.PromptPrefix + ": aa:100,bb:900\r\n"

// endlessAnswers returns all answers without end, by name.
func endlessAnswers() map[string]standin.Endless {
	answers := make(map[string]standin.Endless)
	for name, answer := range standin.EndlessHeads {
		answers[name] = answer
	}
	for name, body := range standin.EndlessBodies {
		answers[name+", success"] = body.With(http.StatusOK, standin.SignedLine, standin.Filler())
		answers[name+", failure"] = body.With(http.StatusInternalServerError, standin.SignedLine, standin.Filler())
		answers[name+", rejection"] = body.With(http.StatusServiceUnavailable, standin.NotExecutedLine, standin.Filler())
	}
	return answers
}

// startEndlessTargets registers a target of a service for each answer without end.
func (h *host) startEndlessTargets(t *testing.T, service string) (targets []*standin.EndlessTarget) {
	for name, answer := range endlessAnswers() {
		id := service + "-" + strings.NewReplacer(" ", "-", ",", "").Replace(name)
		target := standin.StartEndlessTarget(id, harness.FreeListener(t), answer)
		t.Cleanup(target.Close)
		_, err := h.store.Put(t.Context(), platform.TargetPrefix+id, standin.TargetEntry(service, target.Address(), "ready", 24), ports.AnyRevision, 0)
		require.NoError(t, err)
		targets = append(targets, target)
	}
	return targets
}

// Many targets and engines of which none ends its answers, to calls, streams and what the host asks by
// itself, must not make the smallest host exceed its memory: the requests of other services would end with it.
func TestManyTargetsWithoutEndOfTheirAnswers(t *testing.T) {
	h := startHost(t, descriptors)
	targets := append(h.startEndlessTargets(t, faultyService), h.startEndlessTargets(t, faultyEngines)...)
	startCrowd(t, h, 320, func(i int, id string, c *client) {
		path, lines := "/check/x", ""
		if i%2 == 0 {
			path, lines = "/lookup/x", generation
		}
		c.write(head(id, path, lines, 6) + "prompt")
		c.status()
	})
	reached, bytes := 0, int64(0)
	for _, target := range targets {
		if target.Requests() > 0 {
			reached++
		}
		bytes += target.Written()
	}
	t.Logf("%d of %d targets were reached and sent %.0f MB", reached, len(targets), float64(bytes)/(1<<20))
	require.Greater(t, reached, len(targets)*3/4)
	h.requireBounded(t)
}

// largeEventBytes is just below what a host reads of one event.
const largeEventBytes = 250 << 10

// Engines that send a large part of an event, and then go on slowly, made the host hold that part for each
// of their streams at once.
func TestManyEnginesWithLargeEventsThatDoNotEnd(t *testing.T) {
	h := startHost(t, descriptors)
	var engines []*standin.EndlessTarget
	for i := range 60 {
		answer := standin.EndlessBodies["chunks"].With(http.StatusOK, standin.SignedLine+"Content-Type: text/event-stream\r\n", "x")
		answer.Start += fmt.Sprintf("%x\r\nid: 1\ndata: %s\r\n", largeEventBytes+len("id: 1\ndata: "), strings.Repeat("x", largeEventBytes))
		answer.Interval = 100 * time.Millisecond
		target := standin.StartEndlessTarget(fmt.Sprint("e-", i), harness.FreeListener(t), answer)
		t.Cleanup(target.Close)
		_, err := h.store.Put(t.Context(), platform.TargetPrefix+fmt.Sprint("e-", i), standin.TargetEntry(faultyEngines, target.Address(), "ready", 24), ports.AnyRevision, 0)
		require.NoError(t, err)
		engines = append(engines, target)
	}
	startCrowd(t, h, 600, func(_ int, id string, c *client) {
		c.write(head(id, "/lookup/x", generation, 6) + "prompt")
		c.status()
	})
	answering := 0
	for _, e := range engines {
		answering += e.Answering()
	}
	t.Logf("%d answers are open", answering)
	h.requireBounded(t)
}
