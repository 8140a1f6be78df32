package edge_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// drainingMove is a run whose engine leaves around the stop of its host.
type drainingMove struct {
	fleet   *fleet
	host    *host
	engines []*standin.Engine
	source  *standin.Engine
	pending <-chan answer
	stopped time.Time
}

// startDrainingMove starts a run that outlasts its host, after complete ones of the given
// number of events.
func startDrainingMove(t *testing.T, earlier, events int) *drainingMove {
	t.Helper()
	f := newFleet(t)
	f.grace = 4 * time.Second
	f.configure()
	m := &drainingMove{fleet: f}
	set := standin.NewEngines()
	for i := range 3 {
		m.engines = append(m.engines, f.startEngine(set, fmt.Sprintf("e-%d", i+1)))
	}
	m.host = f.startHost()
	for i := range earlier {
		require.NoError(t, send(generationRequest(t.Context(), m.host, fmt.Sprintf("earlier-%d", i), shortGeneration)).err)
	}
	m.pending = sendAsync(generationRequest(t.Context(), m.host, "r-1", events))
	require.Eventually(t, func() bool {
		for _, e := range m.engines {
			if e.EventsProduced("r-1") > 0 {
				m.source = e
			}
		}
		return m.source != nil
	}, waitTimeout, checkInterval)
	return m
}

func (m *drainingMove) stop() {
	m.stopped = time.Now()
	m.host.stop()
}

func (m *drainingMove) leave(t *testing.T) {
	t.Helper()
	m.fleet.register(m.source.ID, engineService, m.source.Address(), "draining")
}

// requireWorkUntilTheAbort waits until the stream is cut and requires that an engine worked on
// the run in the last part of the grace period.
func (m *drainingMove) requireWorkUntilTheAbort(t *testing.T) {
	t.Helper()
	require.Error(t, (<-m.pending).err)
	cut := time.Since(m.stopped)
	time.Sleep(100 * time.Millisecond) // for engines that notice that their caller has left
	var worked time.Duration
	for _, e := range m.engines {
		for _, s := range e.Spans() {
			if s.ID == "r-1" {
				worked = max(worked, s.To.Sub(m.stopped))
			}
		}
	}
	require.GreaterOrEqual(t, worked, m.fleet.grace*5/6, "an engine worked until then, the stream was cut after %v", cut)
}

func TestRunThatOutlastsItsEstimateIsStoppedForAMoveInTheDrain(t *testing.T) {
	t.Parallel()
	m := startDrainingMove(t, 20, 4000)
	m.source.OnMove(func(final bool) {
		if final {
			time.Sleep(m.fleet.grace) // behind other copies
		}
	})
	m.stop()
	time.Sleep(time.Second)
	m.leave(t)
	m.requireWorkUntilTheAbort(t)
}

func TestRunIsStoppedForAMoveWhoseDrainBeganDuringItsCopies(t *testing.T) {
	t.Parallel()
	m := startDrainingMove(t, 0, 4000)
	var once sync.Once
	copies, finals := make(chan struct{}, 100), make(chan struct{}, 1)
	m.source.OnMove(func(final bool) {
		copies <- struct{}{}
		if final {
			finals <- struct{}{}
			return
		}
		if len(copies) > 1 { // the first copy is complete
			once.Do(func() {
				m.stop()
				time.Sleep(300 * time.Millisecond)
			})
		}
	})
	m.leave(t)
	m.requireWorkUntilTheAbort(t)
	require.Empty(t, finals, "the run was stopped in the drain")
}

func TestRunThatADrainingHostDoesNotMoveIsLostWithItsEngine(t *testing.T) {
	t.Parallel()
	const events = 400 // ends in the drain
	m := startDrainingMove(t, 0, events)
	m.stop()
	m.leave(t)
	require.Eventually(t, func() bool { return strings.Contains(m.host.logs.String(), `"outcome":"secured"`) }, waitTimeout, checkInterval)
	m.source.Crash()
	a := <-m.pending
	require.NoError(t, a.err)
	require.Equal(t, standin.StreamText("r-1", events), a.body)
	require.Contains(t, m.host.logs.String(), "stream: first event after a move")
}
