package soak

import (
	"net/http"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/tests/harness"
)

// TestExplainNamesInjectedCause checks that "hitchctl explain" names the injected
// cause of a failed request from the logs of real processes alone.
func TestExplainNamesInjectedCause(t *testing.T) {
	c := newCluster(t, 1, 2)
	explain := func(id string) (explanation string) {
		args := []string{"explain", id}
		for _, h := range c.hosts {
			args = append(args, h.process.LogPath)
		}
		// A line may be written shortly after its caller has the response.
		harness.Await(t, callTimeout, "the last line of "+id, func() bool {
			out, _ := exec.Command(ctlPath, args...).CombinedOutput()
			explanation = string(out)
			return strings.Contains(explanation, "ingress: request ended")
		})
		return explanation
	}
	send := func(o *outcome, method string) <-chan struct{} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			o.send(http.DefaultClient, method)
		}()
		return done
	}
	h := c.hosts[1]

	aborted := &outcome{id: "story-broken", route: "draft", host: h, key: "key-1", events: 400}
	done := send(aborted, http.MethodPost)
	var engine *target
	harness.Await(t, callTimeout, "20 events of the run on an engine", func() bool {
		for _, e := range c.activeTargets(engineService) {
			if e.engine.EventsProduced(aborted.id) >= 20 {
				engine = e
			}
		}
		return engine != nil
	})
	engine.engine.Crash()
	<-done
	require.Error(t, aborted.err)

	unknown := &outcome{id: "story-unknown", route: "hold", host: h, key: "key-1"}
	for _, d := range c.activeTargets(plainService) {
		d.plain.SetHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	<-send(unknown, http.MethodPost)
	require.Equal(t, http.StatusBadGateway, unknown.status)

	for _, e := range c.activeTargets(engineService) {
		c.removeTarget(e)
	}
	rejected := &outcome{id: "story-refused", route: "draft", host: h, key: "key-1", events: 4}
	harness.Await(t, callTimeout, "a target list without engines", func() bool { return h.gauge("hitch_edge_targets") == plainTargetCount+switchServiceCount })
	<-send(rejected, http.MethodPost)
	require.Equal(t, http.StatusServiceUnavailable, rejected.status)

	requireExplanations(t, explain, aborted.id, engine.id, unknown.id, rejected.id)
}

// requireExplanations requires that each explanation names its injected cause.
func requireExplanations(t *testing.T, explain func(string) string, aborted, engine, unknown, rejected string) {
	t.Helper()
	explanation := explain(aborted)
	require.Contains(t, explanation, "stream: broken off")
	require.Contains(t, explanation, "target="+engine)
	require.Contains(t, explanation, "outcome=aborted")
	require.NotContains(t, explanation, "migration:", "the engine sent no leaving notice")

	explanation = explain(unknown)
	require.Contains(t, explanation, "plain: send without a good answer")
	require.Contains(t, explanation, "result=broken")
	require.Contains(t, explanation, "outcome=may_have_run")

	explanation = explain(rejected)
	require.Contains(t, explanation, "reason=no_target")
	require.Contains(t, explanation, "engines=0")
	require.Contains(t, explanation, "outcome=no_target")
}
