package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// A draining host does not stop a run for a move: the replica is all that is left of it when its
// engine exits.
func TestReplicaOfRunOnLeavingEngineIsDiscardedWhenItsEngineLeavesToo(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.grace = 6 * time.Second
	f.configure()
	set := standin.NewEngines()
	var engines []*standin.Engine
	for i := range 3 {
		engines = append(engines, f.startEngine(set, fmt.Sprintf("e-%d", i+1)))
	}
	h := f.startHost()
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", 4000))
	source, others := waitForBusyEngine(t, engines)
	go h.stop()
	time.Sleep(200 * time.Millisecond)
	f.register(source.ID, engineService, source.Address(), "draining")
	require.Eventually(t, func() bool { return others[0].HeldCopies()+others[1].HeldCopies() > 0 }, waitTimeout, checkInterval)
	for _, dest := range others {
		if dest.HeldCopies() > 0 {
			f.register(dest.ID, engineService, dest.Address(), "draining")
		}
	}
	time.Sleep(1500 * time.Millisecond)
	source.Crash()
	time.Sleep(500 * time.Millisecond)
	for _, e := range others {
		if e.EventsProduced("r-1") > 0 {
			return
		}
	}
	select {
	case a := <-pending:
		t.Fatalf("the stream ended when its engine exited, while two others ran: %v", a.err)
	default:
		t.Fatal("no engine works on the run")
	}
}
