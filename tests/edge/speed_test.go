package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/targetspeed"
	"corianderhitch/platform/standin"
)

// speedOf returns the factor of a plain target at a host and where it is from.
func speedOf(h *host, id string) (factor float64, source string) {
	response, err := http.Get("http://" + h.readinessAddress + "/targets/speed")
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var status targetspeed.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return 0, err.Error()
	}
	for _, s := range status.Services {
		for _, t := range s.Targets {
			if strings.HasPrefix(t.Target, id+"@") {
				return t.Factor, status.Source
			}
		}
	}
	return 0, status.Source
}

// All hosts must learn that a target is slow, also those that send it nothing, and that it has
// recovered. Without calls of its own, a host can know only from the hub.
func TestAllHostsLearnOfASlowTarget(t *testing.T) {
	const hosts, pace, slowness = 4, 20 * time.Millisecond, 6
	f := newFleet(t)
	f.configure()
	var slow atomic.Bool
	for i := range 4 {
		f.startPlainTarget(fmt.Sprint("d-", i)).SetHandler(func(w http.ResponseWriter, r *http.Request) {
			work := pace
			if i == 2 && slow.Load() {
				work *= slowness
			}
			time.Sleep(work)
			standin.Succeed(w, r)
		})
	}
	for range hosts {
		f.startHost()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	for i, h := range f.hosts[:hosts-1] {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				send(h.request(ctx, http.MethodPost, "hold", fmt.Sprintf("r-%d-%d", i, n), nil))
			}
		})
	}
	require.Eventually(t, func() bool { // a host that finds a target slow before it hears of others avoids it
		_, source := speedOf(f.hosts[hosts-1], "d-2")
		return source != "self"
	}, waitTimeout, checkInterval)
	slow.Store(true)
	began := time.Now()
	require.Eventually(t, func() bool {
		learned, told := 0, 0
		for _, h := range f.hosts {
			factor, source := speedOf(h, "d-2")
			learned += count(factor > 1.5)
			told += count(source == "hub")
		}
		return learned == hosts && told == hosts-1
	}, waitTimeout, 10*checkInterval)
	require.Eventually(t, func() bool {
		return strings.Contains(f.hosts[0].logs.String()+f.hosts[1].logs.String()+f.hosts[2].logs.String()+f.hosts[3].logs.String(), "speed: target is slow")
	}, waitTimeout, checkInterval)
	t.Logf("learned after %v", time.Since(began))
	slow.Store(false)
	require.Eventually(t, func() bool {
		typical := 0
		for _, h := range f.hosts {
			factor, _ := speedOf(h, "d-2")
			typical += count(factor == 1)
		}
		return typical == hosts
	}, waitTimeout, 10*checkInterval)
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
