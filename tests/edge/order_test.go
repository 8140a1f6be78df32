package edge_test

import (
	"fmt"
	"net/http"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/headers"
	"corianderhitch/platform/standin"
)

// Guards against hosts that wait in separate queues, against a hub that leaves its own runs out
// of the order, and against rejections without a time to come back.
func TestRunsOfAllHostsWaitInOneOrder(t *testing.T) {
	f := newFleet(t)
	f.ordered = true
	f.configure()
	f.startEngine(standin.NewEngines(), "e-1")
	hosts := []*host{f.startHost(), f.startHost()}
	time.Sleep(time.Second) // until both know the hubs
	for i, h := range hosts {
		seen := false
		for try := 0; try < 5 && !seen; try++ { // the others wait for room for about 100 ms only
			seen = asksBehindOthers(t, h, hosts[1-i], fmt.Sprintf("%d-%d", i, try))
		}
		require.True(t, seen, "no run of host %d was ordered behind runs of the other host", i)
	}
}

// asksBehindOthers lets more runs wait at one host than fit, then one at the other, and reports whether
// that one was ordered with them.
func asksBehindOthers(t *testing.T, h, other *host, name string) bool {
	var wait sync.WaitGroup
	for n := range 32 { // more than fit
		wait.Go(func() {
			send(generationRequest(t.Context(), other, fmt.Sprintf("draft-%s-%d", name, n), 3*longGeneration))
		})
	}
	time.Sleep(40 * time.Millisecond)
	// Its objective is shorter, so that the others still wait when it is rejected.
	id := "lookup-" + name
	r := h.request(t.Context(), http.MethodPost, "lookup", id, []byte("another prompt"))
	(&standin.Call{ID: id, APIKey: apiKey, Timeout: callerTimeout, Events: shortGeneration}).SetHeaders(r)
	a := send(r)
	wait.Wait()
	if a.status != http.StatusOK { // it may fit where the others don't
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.NotEmpty(t, a.header.Get(headers.RetryAfter))
	}
	return regexp.MustCompile(`"waitlist: request (placed|rejected)","request":"` + id + `","route":"lookup","position":\d+,"entries":([2-9]|\d\d)`).MatchString(h.logs.String())
}
