package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	ports "corianderhitch/internal/platform"
	"corianderhitch/platform"
	"corianderhitch/platform/standin"
)

const evacuateWithin = 5 * time.Second

// domainTargets are the targets in one failure domain.
type domainTargets struct {
	domain string
	engine *standin.Engine
	plain  *standin.PlainTarget
}

// received returns how many requests, runs and copies have reached the targets.
func (d *domainTargets) received() int {
	copies := 0
	for id := range 10 {
		if d.engine.ReceivedCopy(fmt.Sprintf("r-%d", id)) {
			copies++
		}
	}
	return copies + len(d.plain.Requests()) + len(d.engine.Started()) + len(d.engine.Resumed()) + len(d.engine.Restarted())
}

// evacuationFleet is a fleet with an engine and a plain target in each of two failure domains.
type evacuationFleet struct {
	*fleet
	domains [2]*domainTargets
	sent    int
}

func startEvacuationFleet(t *testing.T, hosts int) *evacuationFleet {
	f := &evacuationFleet{fleet: newFleet(t)}
	f.evacuateWithin, f.revokeWithin = evacuateWithin, 5*time.Second
	f.configure()
	set := standin.NewEngines()
	for i, domain := range []string{"a", "b"} {
		d := &domainTargets{domain: domain, engine: f.startEngine(set, "e-"+domain), plain: f.startPlainTarget("d-" + domain)}
		f.registerIn(domain, d.engine.ID, engineService, d.engine.Address(), "ready")
		f.registerIn(domain, d.plain.ID, plainService, d.plain.Address(), "ready")
		f.domains[i] = d
	}
	for range hosts {
		f.requireUsed(f.domains[0], f.startHost()) // a call prefers targets that have answered before
	}
	return f
}

// registerIn writes the entry of a target in a failure domain to the store.
func (f *fleet) registerIn(domain, id, service, address, state string) {
	_, err := f.store.Put(f.t.Context(), platform.TargetPrefix+id, standin.TargetEntryIn(domain, service, address, state, 6), ports.AnyRevision, 0)
	require.NoError(f.t, err)
}

// evacuate sets the evacuation of a domain, and returns when the store has acknowledged it.
func (f *fleet) evacuate(domain string) time.Time {
	_, err := f.store.Put(f.t.Context(), platform.EvacuationKey(domain), []byte("{}"), ports.AnyRevision, 0)
	require.NoError(f.t, err)
	return time.Now()
}

func (f *fleet) endEvacuation(domain string) {
	require.NoError(f.t, f.store.Delete(f.t.Context(), platform.EvacuationKey(domain), ports.AnyRevision))
}

// sendBatch sends a call and several short streams at a time by way of a host, so that they use
// all engines, and returns their statuses.
func (f *evacuationFleet) sendBatch(h *host) (statuses [5]int) {
	var pending [len(statuses)]<-chan answer
	for i := range pending {
		f.sent++
		if i == 0 {
			pending[i] = sendAsync(h.request(f.t.Context(), http.MethodPost, "hold", fmt.Sprintf("call-%d", f.sent), nil))
			continue
		}
		pending[i] = sendAsync(generationRequest(f.t.Context(), h, fmt.Sprintf("stream-%d", f.sent), shortGeneration))
	}
	for i := range pending {
		statuses[i] = (<-pending[i]).status
	}
	return statuses
}

// requireAvoided sends by way of the hosts for some time, and requires that all is served and
// nothing reaches a domain.
func (f *evacuationFleet) requireAvoided(d *domainTargets, hosts []*host, during time.Duration) {
	f.t.Helper()
	before := d.received()
	for end := time.Now().Add(during); time.Now().Before(end); {
		for _, h := range hosts {
			require.Equal(f.t, [...]int{200, 200, 200, 200, 200}, f.sendBatch(h))
		}
	}
	require.Equal(f.t, before, d.received(), "requests reached domain %s", d.domain)
}

// requireUsed sends by way of a host until requests reach both targets of a domain.
func (f *evacuationFleet) requireUsed(d *domainTargets, h *host) {
	f.t.Helper()
	calls, runs := len(d.plain.Requests()), len(d.engine.Started())
	require.Eventually(f.t, func() bool {
		f.sendBatch(h)
		return len(d.plain.Requests()) > calls && len(d.engine.Started()) > runs
	}, waitTimeout, checkInterval)
}

// awaitEvacuation waits until hosts have put a list of domains in force.
func awaitEvacuation(t *testing.T, hosts []*host, domains string) {
	t.Helper()
	for _, h := range hosts {
		require.Eventually(t, func() bool {
			logs := h.logs.String()
			last := strings.LastIndex(logs, "evacuation: domains in force")
			return last >= 0 && strings.HasPrefix(logs[last:], `evacuation: domains in force","domains":`+domains)
		}, evacuateWithin, checkInterval)
	}
}

// Hosts went on sending to a domain that the operator had evacuated.
func TestEvacuatedDomainGetsNoRequestsUntilTheEvacuationEnds(t *testing.T) {
	t.Parallel()
	f := startEvacuationFleet(t, 3)
	h := f.hosts[0]
	evacuated, other := f.domains[0], f.domains[1] // calls prefer the hosts' domain, the first
	pending := map[string]<-chan answer{}
	for started := len(evacuated.engine.Started()); len(evacuated.engine.Started()) == started; {
		id := fmt.Sprintf("r-%d", len(pending))
		pending[id] = sendAsync(generationRequest(t.Context(), h, id, 1000))
		require.Eventually(t, func() bool {
			return evacuated.engine.EventsProduced(id)+other.engine.EventsProduced(id) > 0
		}, waitTimeout, checkInterval)
	}
	f.evacuate(evacuated.domain)
	awaitEvacuation(t, f.hosts, `["`+evacuated.domain+`"]`)
	f.requireAvoided(evacuated, f.hosts, time.Second)
	started := f.startHost()
	f.requireAvoided(evacuated, []*host{started}, 500*time.Millisecond)
	for id, stream := range pending {
		a := <-stream
		require.NoError(t, a.err)
		require.Equal(t, standin.StreamText(id, 1000), a.body, "streams in progress there end whole")
	}

	f.evacuate(other.domain)
	awaitEvacuation(t, f.hosts, `["a","b"]`)
	for _, route := range []string{"hold", "draft"} {
		began := time.Now()
		rejected := send(h.request(t.Context(), http.MethodPost, route, "none-"+route, []byte("x")))
		require.Equal(t, http.StatusServiceUnavailable, rejected.status)
		require.NotEmpty(t, rejected.header.Get("Retry-After"))
		require.Less(t, time.Since(began), 500*time.Millisecond)
	}
	require.Eventually(t, func() bool { return logContains(h, `"reason":"no_target"`) }, waitTimeout, checkInterval)
	f.endEvacuation(other.domain)
	awaitEvacuation(t, f.hosts, `["`+evacuated.domain+`"]`)
	f.requireAvoided(evacuated, f.hosts, 300*time.Millisecond)
	f.endEvacuation(evacuated.domain)
	for _, h := range f.hosts[:3] {
		f.requireUsed(evacuated, h)
	}
}

// Hubs that lost the store don't tell the other hosts of an evacuation.
func TestHostWhoseHubsLostTheStoreLearnsOfAnEvacuation(t *testing.T) {
	t.Parallel()
	f := startEvacuationFleet(t, 3)
	var follower *host
	require.Eventually(t, func() bool {
		follower = nil
		followers := 0
		for _, h := range f.hosts {
			if logContains(h, "edge: following a hub") {
				follower, followers = h, followers+1
			}
		}
		return followers == 1
	}, waitTimeout, checkInterval)
	for _, h := range f.hosts {
		h.store.setPartitioned(h != follower)
	}
	acknowledged := f.evacuate("a")
	for time.Since(acknowledged) < evacuateWithin {
		f.sendBatch(follower)
		time.Sleep(20 * time.Millisecond)
	}
	f.requireAvoided(f.domains[0], []*host{follower}, time.Second)
	f.requireAvoided(f.domains[0], f.hosts, time.Second) // the hubs learn of it from the follower
}

// The restored store lacks an evacuation until the operator has written it again.
func TestEvacuationOutlastsARestoreOfTheStore(t *testing.T) {
	t.Parallel()
	f := startEvacuationFleet(t, 2)
	older := f.store.Copy()
	f.evacuate("a")
	awaitEvacuation(t, f.hosts, `["a"]`)
	f.store.Restore(older)
	f.requireAvoided(f.domains[0], f.hosts, rewriteDelay)
	f.evacuate("a")
	f.requireAvoided(f.domains[0], f.hosts, 2*time.Second)
	older = f.store.Copy()
	f.endEvacuation("a")
	for _, h := range f.hosts {
		f.requireUsed(f.domains[0], h)
	}
	f.evacuate("a")
	awaitEvacuation(t, f.hosts, `["a"]`)
	f.store.Restore(older) // holds an evacuation too, of another revision
	f.requireAvoided(f.domains[0], f.hosts, 500*time.Millisecond)
	f.endEvacuation("a")
	for _, h := range f.hosts {
		f.requireUsed(f.domains[0], h)
	}
}
