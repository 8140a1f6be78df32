package streaming

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
)

// closedGate refuses all sends.
type closedGate struct{ targetconn.Gate }

func (closedGate) Check(string, *targetconn.Request) targetnotice.Verdict {
	return targetnotice.Leaving
}

type releasingClient struct{ edge.EngineClient }

func (releasingClient) Release(context.Context, *targets.Target, string) error { return nil }

type plainWire struct{ silentWire }

func (plainWire) Encode(*edge.Call, edge.Dispatch, time.Duration) http.Header { return nil }

func TestCompletedStreamIsLostForUnknownFinalCopy(t *testing.T) {
	s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
	s.Runs = NewRuns(func(*Run, string) {})
	s.Engines = stoppingClient{}
	s.Sender = &edge.Sender{Wire: plainWire{}, Pool: targetconn.New(func(http.Header) string { return "" }, closedGate{}, func(string) float64 { return 0 })}
	source, dest := &targets.Target{ID: "s"}, &targets.Target{ID: "d"}
	for name, complete := range map[string]bool{"complete": true, "ended with its connection": false} {
		t.Run(name, func(t *testing.T) {
			segment := &segment{target: source, response: &targetconn.Response{Delimited: complete}}
			r.enterTarget(segment)
			replica := &Replica{Source: source, Dest: dest, Handle: "h", CopiedAt: bootclock.Now()}
			require.True(t, r.setReplica(replica, nil))
			require.True(t, r.BeginFinalCopy(replica))
			r.EndFinalCopy(replica, edge.MoveReply{Result: edge.MoveUnknown}, time.Millisecond)
			next, reason := r.nextSegment(t.Context(), segment, io.EOF)
			require.Nil(t, next)
			require.Equal(t, map[bool]string{true: completed, false: lostInMove}[complete], reason)
		})
	}
	require.Equal(t, inflight.Load{}, s.Inflight.TotalLoad(dest.Key()))
}

// endedFinalCopy returns a final copy with an outcome.
func endedFinalCopy(reply edge.MoveReply) *finalCopy {
	done := make(chan struct{})
	close(done)
	return &finalCopy{reply: reply, ended: true, done: done}
}

func TestCompletedStreamIsContinuedBecauseOfItsFinalCopy(t *testing.T) {
	for name, reply := range map[string]edge.MoveReply{
		"copied":            {Result: edge.MoveCopied, Handle: "h-2"},
		"copy in progress":  {Result: edge.MoveBusy},
		"no room":           {Result: edge.MoveNoRoom},
		"no room, stopped":  {Result: edge.MoveNoRoom, Handle: "h-2"},
		"outcome unknown":   {Result: edge.MoveUnknown},
		"no run any longer": {Result: edge.MoveNoRun},
	} {
		t.Run(name, func(t *testing.T) {
			s, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
			s.Engines = releasingClient{}
			s.Sender = &edge.Sender{Wire: plainWire{}, Pool: targetconn.New(func(http.Header) string { return "" }, closedGate{}, func(string) float64 { return 0 })}
			replica := &Replica{Source: &targets.Target{ID: "s"}, Dest: &targets.Target{ID: "d"}, Handle: "h", final: endedFinalCopy(reply)}
			ended := &segment{target: replica.Source, response: &targetconn.Response{Delimited: true}}
			next, reason := r.continueAfterStop(t.Context(), ended, replica, io.EOF)
			require.Nil(t, next)
			require.Equal(t, completed, reason)
		})
	}
}
