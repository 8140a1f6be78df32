package soak

import (
	"bytes"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

// rejectedStops is more stops than a host makes while the test lasts.
const rejectedStops = 1000

// stoppingPlay is a run whose host has begun to stop it at an engine that works on.
type stoppingPlay struct {
	*cluster
	run    *outcome
	ended  chan struct{} // closed when the caller's stream has ended
	source *target
}

func (h *host) logged(text string) bool {
	log, err := os.ReadFile(h.process.LogPath)
	return err == nil && bytes.Contains(log, []byte(text))
}

// newStoppingPlay starts a run and breaks off the stream of its engine. The engine then rejects stops,
// so that the run waits, or cannot be reached, so that the run goes on at its replica.
func newStoppingPlay(t *testing.T, reachable bool) *stoppingPlay {
	const events = 1000
	p := &stoppingPlay{cluster: newCluster(t, 1, 1), ended: make(chan struct{})}
	p.run = &outcome{id: "r-1", route: "draft", host: p.hosts[0], key: "key-1", events: events}
	engines := p.activeTargets(engineService)
	for _, e := range engines {
		e.engine.ContinueWithoutCaller()
		e.engine.RejectFinalMoves(rejectedStops, http.StatusServiceUnavailable)
	}
	go func() {
		defer close(p.ended)
		p.run.send(&http.Client{Transport: &http.Transport{}}, http.MethodPost)
	}()
	p.awaitEngine(func(e *standin.Engine) bool { return e.EventsProduced(p.run.id) > 0 })
	p.source = engines[slices.IndexFunc(engines, func(e *target) bool { return e.engine.EventsProduced(p.run.id) > 0 })]
	harness.Await(t, harness.DrainTimeout, "a replica", func() bool { return p.run.host.logged("backup: replication finished") })
	if reachable {
		p.source.engine.CloseStreams()
		harness.Await(t, harness.DrainTimeout, "stops", func() bool { return p.stops() > 3 })
		return p
	}
	p.source.proxy.SetMode(harness.Stall)
	p.source.cutConnections()
	p.awaitEngine(func(e *standin.Engine) bool { return e != p.source.engine && e.EventsProduced(p.run.id) > 0 })
	return p
}

// stops returns how many stops the engine has read.
func (p *stoppingPlay) stops() int {
	n := 0
	for _, c := range p.source.engine.MoveCalls() {
		if c.Final {
			n++
		}
	}
	return n
}

// logEngines prints when each engine worked on the run, counted from a time.
func (p *stoppingPlay) logEngines(since time.Time) {
	for _, e := range p.activeTargets(engineService) {
		for _, s := range e.engine.Spans() {
			p.t.Logf("%s: from %v to %v, stopped %v, completed %v", e.id, s.From.Sub(since), s.To.Sub(since), s.Stopped, s.Completed)
		}
	}
}

func TestStopOfARunHoldsUpTheEndOfTheProcess(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(h *host){
		"killed":            func(h *host) { h.process.Kill() },
		"stopped":           func(h *host) { h.terminate() },
		"frozen and killed": func(h *host) { h.process.Freeze(); time.Sleep(time.Second); h.process.Kill() },
	} {
		for _, reachable := range []bool{true, false} {
			kind := map[bool]string{true: ", the run waits", false: ", the run is at its replica"}[reachable]
			t.Run(name+kind, func(t *testing.T) {
				t.Parallel()
				p := newStoppingPlay(t, reachable)
				at, before := time.Now(), p.stops()
				end(p.run.host)
				took := time.Since(at)
				p.source.proxy.ResetConnections()
				p.source.proxy.SetMode(harness.Pass)
				<-p.ended
				last := p.stops()
				time.Sleep(1500 * time.Millisecond)
				p.logEngines(at)
				t.Logf("process ended after %v (%s), %d stops meanwhile, caller: %d events, %v", took, p.run.host.process.ExitReason(), last-before, p.run.receivedEvents(), p.run.err)
				assert.Less(t, took, p.run.host.grace, "the stop holds up the end of the process")
				assert.Equal(t, last, p.stops(), "stops after the end of the process")
				if p.run.receivedEvents() < p.run.events {
					require.Error(t, p.run.err, "the stream looks complete")
				}
			})
		}
	}
}
