package process

import (
	"context"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/platform"
)

// logFunc is a log handler that calls a function with each message.
type logFunc func(message string)

func (logFunc) Enabled(context.Context, slog.Level) bool { return true }
func (f logFunc) Handle(_ context.Context, r slog.Record) error {
	f(r.Message)
	return nil
}
func (f logFunc) WithAttrs([]slog.Attr) slog.Handler { return f }
func (f logFunc) WithGroup(string) slog.Handler      { return f }

func TestChangeOfTargetIsLoggedBeforeItIsInForce(t *testing.T) {
	registry := targets.New(targetnotice.New(), func(targets.Target, targets.LeavingNotice) {})
	var serving []int // targets in use when a change was logged
	sink := &targetSink{
		registry: registry, known: make(map[string]targets.Target),
		log: slog.New(logFunc(func(string) { serving = append(serving, len(registry.View().Serving("s"))) })),
		decode: func(key string, _ []byte) (targets.Target, error) {
			return targets.Target{ID: key, Service: "s"}, nil
		},
	}
	entry := platform.Entry{Key: "e"}
	sink.Apply([]platform.Event{{Entry: entry}}, 1)
	sink.Apply([]platform.Event{{Entry: entry, Deleted: true}}, 2)
	require.Equal(t, []int{1, 0}, serving)
}
