package edge_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// startThreeDomains starts a host and an engine in each of three failure domains.
func startThreeDomains(t *testing.T) (*fleet, *host, []*standin.Engine) {
	f := newFleet(t)
	f.evacuateWithin = evacuateWithin
	f.configure()
	set := standin.NewEngines()
	var engines []*standin.Engine
	for _, domain := range []string{"a", "b", "c"} {
		e := f.startEngine(set, "e-"+domain)
		f.registerIn(domain, e.ID, engineService, e.Address(), "ready")
		engines = append(engines, e)
	}
	return f, f.startHost(), engines
}

// domainOf returns the failure domain of an engine.
func domainOf(e *standin.Engine) string { return strings.TrimPrefix(e.ID, "e-") }

// evacuateDestination evacuates the domain of the engine that holds a copy, and waits until the host
// knows. It returns that engine.
func evacuateDestination(t *testing.T, f *fleet, h *host, engines []*standin.Engine) *standin.Engine {
	for _, dest := range engines {
		if dest.HeldCopies() > 0 {
			domain := domainOf(dest)
			f.evacuate(domain)
			awaitEvacuation(t, []*host{h}, `["`+domain+`"]`)
			return dest
		}
	}
	return nil
}

// A run was stopped for, and continued at, a destination whose domain was evacuated while it was copied
// there.
func TestRunDoesNotMoveToADomainThatIsEvacuatedMeanwhile(t *testing.T) {
	for name, stopped := range map[string]bool{"during the first copies": false, "during the final copy": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, h, engines := startThreeDomains(t)
			const events = 1000
			pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
			source, others := waitForBusyEngine(t, engines)
			var once sync.Once
			evacuated := make(chan *standin.Engine, 1)
			source.OnMove(func(final bool) {
				if final == stopped {
					once.Do(func() { evacuated <- evacuateDestination(t, f, h, others) })
				}
			})
			f.registerIn(domainOf(source), source.ID, engineService, source.Address(), "draining")
			a := <-pending
			require.NoError(t, a.err)
			require.Equal(t, standin.StreamText("r-1", events), a.body)
			dest := <-evacuated
			require.NotNil(t, dest)
			require.Empty(t, dest.Resumed())
			for _, other := range others {
				if other != dest {
					require.Equal(t, []string{"r-1"}, other.Resumed(), "the run moves to the domain that is left")
				}
			}
			if !stopped { // the engines drop the copy of a final one that is not used
				require.Eventually(t, func() bool { return dest.HeldCopies() == 0 }, waitTimeout, checkInterval)
			}
		})
	}
}

// A replica in a domain that has been evacuated is of no use: the run was lost with its engine.
func TestReplicaMovesOutOfAnEvacuatedDomain(t *testing.T) {
	t.Parallel()
	f, h, engines := startThreeDomains(t)
	const events = 1000
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	waitForReplica(t, h)
	dest := evacuateDestination(t, f, h, others)
	require.NotNil(t, dest)
	require.Eventually(t, func() bool { return strings.Count(h.logs.String(), `"backup: replication finished"`) == 2 }, waitTimeout, checkInterval)
	require.True(t, logContains(h, `"evacuated":true`), "it is dropped for that, not when it has to be copied again")
	source.Crash()
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	require.Empty(t, dest.Resumed())
}

// Runs of an engine that leaves in an evacuated domain move out of it: evacuations precede maintenance.
func TestRunsMoveOffLeavingEnginesOfAnEvacuatedDomain(t *testing.T) {
	t.Parallel()
	f, h, engines := startThreeDomains(t)
	const events = 600
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", events))
	source, others := waitForBusyEngine(t, engines)
	domain := domainOf(source)
	f.evacuate(domain)
	awaitEvacuation(t, []*host{h}, `["`+domain+`"]`)
	f.registerIn(domainOf(source), source.ID, engineService, source.Address(), "draining")
	a := <-pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	resumed := 0
	for _, e := range others {
		resumed += len(e.Resumed())
	}
	require.Equal(t, 1, resumed)
}
