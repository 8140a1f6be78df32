package process

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/node"
)

// A hangup that comes while the process reads its settings for the first time
// must not end it.
func TestHangupWhileTheProcessStarts(t *testing.T) {
	started := errors.New("settings were read")
	adapter := Adapter{LogOutput: io.Discard, ReadNode: func(string) (node.Node, error) {
		require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		return node.Node{}, started
	}}
	require.ErrorIs(t, Run(adapter)(context.Background(), io.Discard, Settings{}), started)
}
