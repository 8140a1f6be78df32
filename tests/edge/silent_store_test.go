package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/relay"
)

const (
	// applyBound, drainBound and catchUpBound are bounds that the platform states for small fleets: until a
	// configuration is in force, a leaving target gets no more requests, and a host is up to date again.
	applyBound   = 2 * time.Second
	drainBound   = 2 * time.Second
	catchUpBound = 4 * time.Second
)

// splitByDuty returns the hosts that follow the store for the fleet, and the others.
func (f *fleet) splitByDuty() (hubs, others []*host) {
	named := make([]relay.Host, len(f.hosts))
	byName := make(map[string]*host)
	for i, h := range f.hosts {
		named[i].Name = fmt.Sprintf("host-%d", i)
		byName[named[i].Name] = h
	}
	isHub := make(map[*host]bool)
	for _, hub := range relay.ChooseHubs(named) {
		isHub[byName[hub.Name]] = true
		hubs = append(hubs, byName[hub.Name])
	}
	for _, h := range f.hosts {
		if !isHub[h] {
			others = append(others, h)
		}
	}
	return hubs, others
}

// awaitAcquaintance waits until each host knows all others.
func (f *fleet) awaitAcquaintance() {
	for i, h := range f.hosts {
		for j := range f.hosts {
			if i != j {
				require.Eventually(f.t, func() bool { return logContains(h, fmt.Sprintf(`"host":"host-%d"`, j)) }, waitTimeout, checkInterval)
			}
		}
	}
}

// The store does not answer the two hosts that follow it for the others. Their watch waits on without
// news, as in calm, so that the others took them for followers and sent requests to targets that had
// left for up to 23 s.
func TestHostsHearOfLeavingTargetsWhileTheirHubsHearNothing(t *testing.T) {
	f := newFleet(t)
	f.applyWithin, f.revokeWithin = applyBound, 5*time.Second
	f.configure()
	leaving := f.startPlainTarget("d-1")
	other := f.startPlainTarget("d-2")
	for range 5 {
		f.startHost()
	}
	f.awaitAcquaintance()
	hubs, others := f.splitByDuty()
	require.Len(t, hubs, relay.HubCount)
	time.Sleep(catchUpBound) // all hosts follow the hubs

	for _, h := range hubs {
		h.store.silent.Store(true)
	}
	f.register(leaving.ID, plainService, leaving.Address(), "draining")
	time.Sleep(drainBound)
	before := len(leaving.Requests())
	for i := range 20 {
		for j, h := range others {
			a := send(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("r-%d-%d", i, j), nil))
			require.Equal(t, http.StatusOK, a.status)
		}
	}
	require.Len(t, leaving.Requests(), before, "requests reached a target %v after it had stated that it leaves", drainBound)

	// What changed during the silence must reach the hubs as well, although their watches lost it.
	joined := f.startPlainTarget("d-3")
	f.register(other.ID, plainService, other.Address(), "draining")
	time.Sleep(200 * time.Millisecond)
	for _, h := range hubs {
		h.store.silent.Store(false)
	}
	for i, h := range hubs {
		seen := len(joined.Requests())
		require.Eventually(t, func() bool {
			send(h.request(t.Context(), http.MethodGet, "check", fmt.Sprintf("after-%d", i), nil))
			return len(joined.Requests()) > seen
		}, catchUpBound, checkInterval, "a hub does not use a target that joined during the silence")
	}
}
