package streaming

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
)

// slowCopier answers a copy when told to.
type slowCopier struct {
	edge.EngineClient
	asked, answer chan struct{}
}

func (c *slowCopier) Move(context.Context, *targets.Target, string, *targets.Target, bool) edge.MoveReply {
	close(c.asked)
	<-c.answer
	return edge.MoveReply{Result: edge.MoveCopied, Handle: "h"}
}

// An engine crashes right after it has answered its first copy. The broken stream is
// noticed before the answer: the run must not end for lack of a replica.
func TestBrokenStreamWaitsForTheCopyInProgress(t *testing.T) {
	copier := &slowCopier{asked: make(chan struct{}), answer: make(chan struct{})}
	source, dest := &targets.Target{ID: "s"}, &targets.Target{ID: "d"}
	server := &Server{Engines: copier, Inflight: inflight.New("host"), Runs: NewRuns(func(*Run, string) {})}
	r := &Run{server: server, call: &edge.AuthorizedCall{Call: &edge.Call{ID: "r"}, Route: &policy.Route{}, Log: slog.New(slog.DiscardHandler)}}
	r.enterTarget(&segment{target: source})
	go r.Replicate(t.Context(), source, dest, inflight.Load{}, nil)
	<-copier.asked
	time.AfterFunc(20*time.Millisecond, func() { close(copier.answer) })
	r.awaitCopy(t.Context())
	replica, _ := r.takeReplica()
	require.NotNil(t, replica)
	require.Equal(t, "h", replica.Handle)
}

// Without a copy in progress nothing is waited for.
func TestBrokenStreamWithoutCopyEndsAtOnce(t *testing.T) {
	r := &Run{server: &Server{Runs: NewRuns(func(*Run, string) {})}}
	started := time.Now()
	r.awaitCopy(t.Context())
	require.Less(t, time.Since(started), stopTimeout/2)
	next, reason := r.nextSegment(t.Context(), &segment{target: &targets.Target{}}, io.ErrUnexpectedEOF)
	require.Nil(t, next)
	require.Equal(t, brokenOff, reason)
}
