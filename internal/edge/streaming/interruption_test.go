package streaming

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
)

func TestLineOfBrokenStreamHidesThatNoEngineWorkedOnIt(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		final *edge.MoveReply
		ctx   context.Context
		err   error
		cause string
	}{
		"stopped for a move":          {&edge.MoveReply{Result: edge.MoveCopied, Handle: "h"}, ended, io.ErrUnexpectedEOF, interruptedByFinalCopy},
		"final copy refused":          {&edge.MoveReply{Result: edge.MoveNoRoom}, ended, io.ErrUnexpectedEOF, ""},
		"request ended":               {nil, ended, io.ErrUnexpectedEOF, ""},
		"engine broke off":            {nil, t.Context(), io.ErrUnexpectedEOF, interruptedByBreak},
		"engine ended its stream":     {nil, t.Context(), io.EOF, interruptedByEnd},
		"caller cannot be written to": {nil, t.Context(), errCallerGone, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			server := &Server{Inflight: inflight.New("host"), Runs: NewRuns(func(*Run, string) {}), Drain: draining.New(time.Second)}
			r := &Run{server: server, call: &edge.AuthorizedCall{Call: &edge.Call{}, Route: &policy.Route{}, Log: slog.New(slog.NewTextHandler(&log, nil))}}
			r.enterTarget(&segment{target: &targets.Target{ID: "s"}})
			if c.final != nil {
				replica := &Replica{Source: r.target, Dest: &targets.Target{ID: "d"}}
				require.True(t, r.setReplica(replica, nil))
				require.True(t, r.BeginFinalCopy(replica))
				r.EndFinalCopy(replica, *c.final, time.Minute)
			}
			r.beginInterruption(c.ctx, c.err)
			r.logBrokenOff("reason", "s", "")
			require.Contains(t, log.String(), "interrupted_by="+map[bool]string{true: `""`, false: c.cause}[c.cause == ""]+" ")
		})
	}
}
