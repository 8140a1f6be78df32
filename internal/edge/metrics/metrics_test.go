package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/waitlist"
	"corianderhitch/internal/telemetry"
)

// The generated page lists exactly the metrics that are scraped, under the same names.
func TestDefinitionsMatchScrapedMetrics(t *testing.T) {
	signals, err := telemetry.Start(t.Context(), "edge", "host", telemetry.Settings{})
	require.NoError(t, err)
	one := func() int { return 1 }
	age := func() time.Duration { return time.Second }
	m, err := New(signals.Meter, Gauges{Runs: one, ExpectedTokens: one, WaitingRuns: one, Targets: one, Hosts: one, PolicyAge: age, TargetListAge: age,
		PolicyVersion: func() int64 { return 1 }, StoreEra: func() int64 { return 1 }, EvacuatedDomains: one, HeldKeys: one, Waitlist: func() waitlist.Stats { return waitlist.Stats{} }, ColdTargets: one, DroppedLogLines: func() int64 { return 0 },
		HeldBytes: func() int64 { return 1 }, HeldBound: func() int64 { return 1 }, Connections: one, ConnectionBound: one,
		Slowness: func() map[string]float64 { return map[string]float64{"engine@1": 2.5} }})
	require.NoError(t, err)
	m.ObserveRequest(nil, "answered", time.Second)
	m.ObserveMove("secured", time.Second)
	m.ObservePlacementWait(time.Second, true)
	m.ObserveFirstEvent(time.Second)
	m.ObserveLongestPause(time.Second)
	m.ObserveRetry("desk", true)
	m.ObserveContinuation("engines", "resumed")
	m.ObserveReplica("copied")
	m.ObserveTargetNotice("pause")
	m.ObserveForwarded("answered")
	m.ObserveRefusedSend("paused")
	m.ObserveQuarantine("held")
	m.ObserveEngineCall("stop", "busy", time.Second)
	m.ObserveStoreCall("get", "ok")
	m.ObserveClosedConnection("longest_waiting")
	answer := httptest.NewRecorder()
	signals.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	var scraped []string
	for _, line := range strings.Split(answer.Body.String(), "\n") {
		if fields := strings.Fields(line); len(fields) == 4 && fields[1] == "TYPE" && strings.HasPrefix(fields[2], "hitch_") {
			scraped = append(scraped, fields[2]+" "+fields[3])
		}
	}
	var defined []string
	for _, d := range m.Definitions {
		defined = append(defined, d.Name+" "+d.Kind)
	}
	require.ElementsMatch(t, scraped, defined)
}
