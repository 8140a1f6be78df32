package streaming

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

var (
	movedBusy     = edge.MoveReply{Result: edge.MoveBusy}
	movedNoRoom   = edge.MoveReply{Result: edge.MoveNoRoom}
	movedNowhere  = edge.MoveReply{Result: edge.MoveUnknown, Err: targetconn.ErrBroken}
	movedUnsent   = edge.MoveReply{Result: edge.MoveUnknown, Err: targetconn.ErrNotSent}
	movedRejected = edge.MoveReply{Result: edge.MoveRejected}
	movedNoRun    = edge.MoveReply{Result: edge.MoveNoRun}
	movedWhole    = edge.MoveReply{Result: edge.MoveCopied, Handle: "h-2"}
	movedStopped  = edge.MoveReply{Result: edge.MoveNoRoom, Handle: "h-2"}
)

// Guards against states of a replica from which its run cannot go on.
func TestReplicaCanBeTakenInEachState(t *testing.T) {
	require.Empty(t, replicaTransitions[replicaTaken], "a replica is used once")
	for state, next := range replicaTransitions {
		if state != replicaTaken {
			require.Contains(t, next, replicaTaken, state.String())
		}
		for _, s := range next {
			require.Contains(t, replicaTransitions, s, state.String())
		}
	}
	require.False(t, func() bool { s := replicaMoved; return s.enter(replicaMoving) }(), "a run that was stopped is not stopped again")
}

func TestStateAfterAFinalCopy(t *testing.T) {
	for _, c := range []struct {
		reply edge.MoveReply
		want  replicaState
	}{{movedBusy, replicaKept}, {movedNoRoom, replicaKept}, {movedUnsent, replicaKept}, {movedNowhere, replicaUnconfirmed}, {movedRejected, replicaUnconfirmed},
		{movedNoRun, replicaUnconfirmed}, {movedWhole, replicaMoved}, {movedStopped, replicaMoved}} {
		require.Equal(t, c.want, stateAfter(c.reply), c.reply.Result.String())
	}
}

// afterFailedFinalCopy returns what must be possible with a run and its replica after a final copy has failed.
func afterFailedFinalCopy(failed edge.MoveReply) map[string]func(*testing.T, *Run, *Replica) {
	return map[string]func(*testing.T, *Run, *Replica){
		"is moved again": func(t *testing.T, r *Run, replica *Replica) {
			for range 2 {
				require.True(t, r.BeginFinalCopy(replica))
				r.EndFinalCopy(replica, failed, time.Millisecond)
			}
			require.True(t, r.BeginFinalCopy(replica))
			r.EndFinalCopy(replica, movedWhole, time.Minute)
			require.True(t, r.HasMoved())
			require.False(t, r.BeginFinalCopy(replica), "the run has been stopped")
			require.Equal(t, movedWhole, replica.final.reply)
		},
		"is discarded after an event": func(t *testing.T, r *Run, replica *Replica) {
			r.recordProgress(1)
			require.True(t, r.DiscardReplica(replica))
			require.Nil(t, r.Replica())
		},
		"is discarded after a copy": func(t *testing.T, r *Run, replica *Replica) {
			replica.CopiedAt = 0
			r.NoteCopied(replica)
			require.NotZero(t, replica.CopiedAt)
			require.True(t, r.DiscardReplica(replica))
		},
		"is replaced": func(t *testing.T, r *Run, replica *Replica) {
			next := &Replica{Source: replica.Source, Dest: &targets.Target{ID: "e"}}
			require.True(t, r.setReplica(next, replica))
			require.Same(t, next, r.Replica())
		},
		"is taken over": func(t *testing.T, r *Run, _ *Replica) {
			r.ctx, r.segment = t.Context(), openSegment(t, r.server, r.Target())
			r.LeaveSilentEngine()
			require.True(t, r.LeavesSilentEngine())
			require.NotNil(t, r.endTakeover(io.ErrUnexpectedEOF))
		},
		"is not interrupted after an event": func(t *testing.T, r *Run, _ *Replica) {
			r.recordProgress(1)
			require.Zero(t, r.interruption)
		},
		"asks its engine again when the stream breaks later": func(t *testing.T, r *Run, replica *Replica) {
			r.recordProgress(1)
			next, reason := r.nextSegment(t.Context(), &segment{target: replica.Source, response: &targetconn.Response{Delimited: true}}, io.ErrUnexpectedEOF)
			require.NotNil(t, next, reason)
			engines := r.server.Engines.(*workingEngines)
			engines.mu.Lock()
			defer engines.mu.Unlock()
			require.NotZero(t, engines.made["s"], "the outcome of the earlier final copy was taken for that of today")
		},
	}
}

// Guards against the end of the process when an engine leaves a second time under a run whose first final copy failed,
// and against runs that such a copy leaves worse off than before.
func TestRunAfterAFailedFinalCopy(t *testing.T) {
	outcomes := map[string]edge.MoveReply{"busy": movedBusy, "no room": movedNoRoom, "no answer": movedNowhere, "not sent": movedUnsent, "rejected": movedRejected, "no run": movedNoRun}
	for name, failed := range outcomes {
		for action, check := range afterFailedFinalCopy(failed) {
			t.Run(name+" "+action, func(t *testing.T) {
				dest := startHolder(t, "d", false)
				r, replica, _ := handover(t, &workingEngines{}, dest.target)
				r.countedLoad = inflight.Load{Runs: 1}
				require.True(t, r.BeginFinalCopy(replica))
				require.False(t, r.BeginFinalCopy(replica), "one is in flight")
				require.False(t, r.DiscardReplica(replica))
				r.EndFinalCopy(replica, failed, time.Millisecond)
				require.False(t, r.HasMoved())
				check(t, r, replica)
			})
		}
	}
}

// Guards against the end of the process by an outcome that is reported twice.
func TestOutcomeOfAFinalCopyIsRecordedOnce(t *testing.T) {
	r, replica, _ := handover(t, &workingEngines{}, startHolder(t, "d", false).target)
	r.EndFinalCopy(replica, movedWhole, time.Minute) // none is in flight
	require.Equal(t, replicaKept, replica.state)
	require.True(t, r.BeginFinalCopy(replica))
	r.EndFinalCopy(replica, movedBusy, time.Minute)
	r.EndFinalCopy(replica, movedWhole, time.Minute)
	require.Equal(t, replicaKept, replica.state)
	require.Equal(t, movedBusy, replica.final.reply)
}

// Guards against a stream that ends with its connection, is cut by a final copy whose answer was lost, and looks complete.
func TestStreamThatALateStopEndsIsNotComplete(t *testing.T) {
	dest := startHolder(t, "d", false)
	r, replica, ended := handover(t, &workingEngines{}, dest.target)
	require.True(t, r.BeginFinalCopy(replica))
	r.EndFinalCopy(replica, movedNowhere, time.Minute)
	r.recordProgress(1)
	next, reason := r.nextSegment(t.Context(), ended, io.EOF)
	require.NotNil(t, next, reason)
}

// Guards against streams that are whole and go on elsewhere, since a final copy could not be sent.
func TestStreamThatNoStopReachedIsComplete(t *testing.T) {
	r, replica, ended := handover(t, &workingEngines{}, startHolder(t, "d", false).target)
	require.True(t, r.BeginFinalCopy(replica))
	r.EndFinalCopy(replica, movedUnsent, time.Minute)
	next, reason := r.nextSegment(t.Context(), ended, io.EOF)
	require.Nil(t, next)
	require.Equal(t, completed, reason)
}

// The outcome arrives after the stream has ended, and the goroutine that reads it waits.
func TestOutcomeThatArrivesAfterTheStreamHasEnded(t *testing.T) {
	dest := startHolder(t, "d", false)
	r, replica, ended := handover(t, &workingEngines{}, dest.target)
	require.True(t, r.BeginFinalCopy(replica))
	time.AfterFunc(50*time.Millisecond, func() { r.EndFinalCopy(replica, movedWhole, time.Minute) })
	started := bootclock.Now()
	next, reason := r.nextSegment(t.Context(), ended, io.ErrUnexpectedEOF)
	require.NotNil(t, next, reason)
	require.GreaterOrEqual(t, bootclock.Since(started), 50*time.Millisecond)
}
