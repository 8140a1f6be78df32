package edge_test

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
)

// The last part of a request's body arrives when the stream cannot end in time any more.
func TestStreamSentToDrainingHostIsNotCut(t *testing.T) {
	f := newFleet(t)
	f.grace = 4 * time.Second
	f.configure()
	engine := f.startEngine(standin.NewEngines(), "e-1")
	h := f.startHost()
	body, rest := io.Pipe()
	r := generationRequest(t.Context(), h, "r-1", longGeneration)
	r.Body = body
	pending := sendAsync(r)
	_, err := rest.Write([]byte("pro"))
	require.NoError(t, err)
	h.stop()
	require.Eventually(t, func() bool { return !h.isReady() }, waitTimeout, checkInterval)
	time.Sleep(3100 * time.Millisecond)
	_, _ = rest.Write([]byte("mpt"))
	_ = rest.Close()
	a := <-pending
	if len(engine.Started()) > 0 {
		require.NoError(t, a.err, "the host sent the request to an engine and cut its stream")
		require.Equal(t, standin.StreamText("r-1", longGeneration), a.body)
	}
}

// The host aborts the run before it could need the copy, which costs a transfer and the
// memory of a second engine.
func TestDrainingHostCopiesRunThatItWillAbort(t *testing.T) {
	f := newFleet(t)
	f.grace = 4 * time.Second
	f.configure()
	set := standin.NewEngines()
	engines := []*standin.Engine{f.startEngine(set, "e-1"), f.startEngine(set, "e-2")}
	h := f.startHost()
	pending := sendAsync(generationRequest(t.Context(), h, "r-1", 4000))
	source, others := waitForBusyEngine(t, engines)
	copied := make(chan struct{}, 10)
	source.OnMove(func(bool) { copied <- struct{}{} })
	h.stop()
	<-pending
	require.Empty(t, copied)
	require.Zero(t, others[0].HeldCopies())
}

// The platform excuses a stream that the end of a process cuts only if its engine was still
// at work in the last part of the grace period.
func TestStreamIsCutLongAfterItsEngineStoppedForAMove(t *testing.T) {
	for name, exits := range map[string]bool{"engine goes on": false, "engine exits": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.grace = 4 * time.Second
			f.configure()
			set := standin.NewEngines()
			engines := []*standin.Engine{f.startEngine(set, "e-1"), f.startEngine(set, "e-2")}
			h := f.startHost()
			pending := sendAsync(generationRequest(t.Context(), h, "r-1", 4000))
			source, others := waitForBusyEngine(t, engines)
			source.OnMove(func(final bool) {
				if final {
					time.Sleep(f.grace) // behind other copies
				}
			})
			h.stop()
			stopped := time.Now()
			time.Sleep(time.Second)
			f.register(source.ID, engineService, source.Address(), "draining")
			if exits {
				time.Sleep(1800 * time.Millisecond)
				source.Crash()
			}
			require.Error(t, (<-pending).err)
			cut := time.Since(stopped)
			time.Sleep(100 * time.Millisecond) // for engines that notice that their caller has left
			var worked time.Duration
			for _, s := range append(source.Spans(), others[0].Spans()...) {
				worked = max(worked, s.To.Sub(stopped))
			}
			require.GreaterOrEqual(t, worked, f.grace*5/6, "an engine worked until then, the stream was cut after %v", cut)
		})
	}
}
