package soak

import (
	"net/http"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/tests/harness"
)

// From the logs of real processes alone, the story of a failed request names the
// cause that was injected.
func TestStoriesNameTheInjectedCause(t *testing.T) {
	w := newWorld(t, 1, 2)
	explain := func(id string) (story string) {
		args := []string{"explain", id}
		for _, h := range w.hosts {
			args = append(args, h.process.Log)
		}
		// A line may be written a moment after its caller has the answer.
		harness.Await(t, callDeadline, "the last line of "+id, func() bool {
			out, _ := exec.Command(ctlPath, args...).CombinedOutput()
			story = string(out)
			return strings.Contains(story, "ingress: request ended")
		})
		return story
	}
	send := func(o *outcome, method string) <-chan struct{} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			o.run(http.DefaultClient, method)
		}()
		return done
	}
	h := w.hosts[1]

	broken := &outcome{id: "story-broken", route: "draft", host: h, key: "key-1", events: 400}
	done := send(broken, http.MethodPost)
	var engine *target
	harness.Await(t, callDeadline, "some events of a run on an engine", func() bool {
		for _, e := range w.live(engines) {
			if e.engine.EventsProduced(broken.id) >= 20 {
				engine = e
			}
		}
		return engine != nil
	})
	engine.engine.Crash()
	<-done
	require.Error(t, broken.err)

	unknown := &outcome{id: "story-unknown", route: "hold", host: h, key: "key-1"}
	for _, d := range w.live(desk) {
		d.desk.SetHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	<-send(unknown, http.MethodPost)
	require.Equal(t, http.StatusBadGateway, unknown.status)

	for _, e := range w.live(engines) {
		w.end(e)
	}
	refused := &outcome{id: "story-refused", route: "draft", host: h, key: "key-1", events: 4}
	harness.Await(t, callDeadline, "a list without engines", func() bool { return h.gauge("hitch_edge_targets") == deskCount+annexes })
	<-send(refused, http.MethodPost)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)

	requireCauses(t, explain, broken.id, engine.id, unknown.id, refused.id)
}

// requireCauses looks for the injected causes in the stories.
func requireCauses(t *testing.T, explain func(string) string, broken, engine, unknown, refused string) {
	t.Helper()
	story := explain(broken)
	require.Contains(t, story, "stream: broken off")
	require.Contains(t, story, "target="+engine)
	require.Contains(t, story, "outcome=aborted")
	require.NotContains(t, story, "migration:", "the engine gave no notice")

	story = explain(unknown)
	require.Contains(t, story, "plain: send without a good answer")
	require.Contains(t, story, "result=broken")
	require.Contains(t, story, "outcome=may_have_run")

	story = explain(refused)
	require.Contains(t, story, "reason=no_target")
	require.Contains(t, story, "engines=0")
	require.Contains(t, story, "outcome=no_target")
}
