package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/node"
	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

// mostWithin returns the most requests that reached a target within a time.
func mostWithin(target *standin.PlainTarget, within time.Duration) int {
	requests, most, first := target.Requests(), 0, 0
	for i, r := range requests {
		for r.ReceivedAt.Sub(requests[first].ReceivedAt) >= within {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A target comes back during a burst, as a new incarnation that is cold. Three hosts with 24 callers
// keep all of its slots busy as long as they may: it would get hundreds of requests a second and
// crash. Its rate is used, the warm target serves the rest, and afterwards both serve. If only one of the
// hosts has callers, it borrows the shares of the others.
func TestTargetThatComesBackColdGetsNoMoreThanItBears(t *testing.T) {
	t.Parallel()
	for _, busy := range []int{3, 1} {
		t.Run(fmt.Sprint(busy, " busy hosts"), func(t *testing.T) {
			t.Parallel()
			bringBackCold(t, busy)
		})
	}
}

// succeedInSlots answers like succeedSlowly, with as many requests at a time as targets have slots. A target
// that is as fast with 24 requests as with one would count as the faster one and keep them all.
func succeedInSlots() func(http.ResponseWriter, *http.Request) {
	slots := make(chan struct{}, 6)
	return func(w http.ResponseWriter, r *http.Request) {
		slots <- struct{}{}
		defer func() { <-slots }()
		succeedSlowly(w, r)
	}
}

func bringBackCold(t *testing.T, busy int) {
	const (
		rate, factor, slack = 20, 1.5, 5
		coldFor, settled    = 4 * time.Second, 9 * time.Second
		onTheirWay          = 300 * time.Millisecond // until all hosts have read the entry
	)
	f := newFleet(t)
	f.coldFor, f.coldRate, f.cold = coldFor, rate, node.ColdBound{Factor: factor, Slack: slack}
	f.configure()
	warm := f.startPlainTarget("d-1")
	f.startHosts(3)
	time.Sleep(settled) // after it, hosts no longer count as new to each other
	cold := f.startPlainTarget("d-2")
	warm.SetHandler(succeedInSlots())
	cold.SetHandler(succeedInSlots())
	_, err := f.store.Put(t.Context(), platform.TargetPrefix+"d-2", standin.ColdTargetEntry("a", plainService, cold.Address(), "draining", 6, 1700000000000, 0), ports.AnyRevision, 0)
	require.NoError(t, err)
	end := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	rejected := 0
	for n, h := range f.hosts[:busy] {
		for c := range 24 / busy {
			callers.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-end:
						return
					default:
					}
					a := send(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("r-%d-%d-%d", n, c, i), nil))
					if a.err != nil || a.status != http.StatusOK {
						mu.Lock()
						rejected++
						mu.Unlock()
					}
				}
			})
		}
	}
	time.Sleep(time.Second)
	before := len(cold.Requests())
	_, err = f.store.Put(t.Context(), platform.TargetPrefix+"d-2", standin.ColdTargetEntry("a", plainService, cold.Address(), "ready", 6, 1700000099000, coldFor), ports.AnyRevision, 0)
	require.NoError(t, err)
	time.Sleep(coldFor - onTheirWay)
	during, most := len(cold.Requests())-before, mostWithin(cold, time.Second)
	time.Sleep(2 * time.Second)
	close(end)
	callers.Wait()
	t.Logf("%d requests while it was cold, at most %d in one second, %d afterwards; %d at the warm target; %d rejected", during, most, len(cold.Requests())-before-during, len(warm.Requests()), rejected)
	require.LessOrEqual(t, float64(most), factor*rate+slack)
	require.Greater(t, during, rate*2, "half of the rate at least")
	require.Greater(t, len(cold.Requests())-before-during, rate*2, "it is warm")
	require.Zero(t, rejected)
	require.Contains(t, f.hosts[0].logs.String(), "warmup: target is cold")
	require.Contains(t, f.hosts[0].logs.String(), "warmup: target is warm")
}

// All targets of a service are cold: requests wait for their turn, and those that can't are told when
// there will be room.
func TestRequestsWaitWhileAllTargetsAreCold(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.coldFor, f.coldRate, f.cold = time.Minute, 20, node.ColdBound{Factor: 1.5, Slack: 5}
	f.configure()
	target := f.startPlainTarget("d-1")
	_, err := f.store.Put(t.Context(), platform.TargetPrefix+"d-1", standin.ColdTargetEntry("a", plainService, target.Address(), "ready", 6, 1700000000000, time.Minute), ports.AnyRevision, 0)
	require.NoError(t, err)
	h := f.startHost()
	var answers []<-chan answer
	served, told := 0, 0
	require.Eventually(t, func() bool { // once the host has a list of hosts
		return send(h.request(t.Context(), http.MethodGet, "check", "first", nil)).status == http.StatusOK
	}, waitTimeout, checkInterval)
	for i := range 30 {
		answers = append(answers, sendAsync(h.request(t.Context(), http.MethodGet, "check", fmt.Sprint("r-", i), nil)))
	}
	for _, pending := range answers {
		a := <-pending
		require.NoError(t, a.err)
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			require.Contains(t, a.body, "targets_limited")
			require.NotEmpty(t, a.header.Get("Retry-After"))
			told++
		default:
			t.Fatalf("status %d", a.status)
		}
	}
	t.Logf("%d served, %d told to return", served, told)
	require.Greater(t, served, 2, "some wait for their turn")
	require.LessOrEqual(t, mostWithin(target, time.Second), 35)
}
