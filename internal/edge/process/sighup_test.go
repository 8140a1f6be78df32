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

// A SIGHUP that arrives while the process reads its settings for the first time must
// not end the process.
func TestSIGHUPDuringStart(t *testing.T) {
	started := errors.New("settings were read")
	adapter := Adapter{LogOutput: io.Discard, ReadNode: func(string) (node.Node, error) {
		require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		return node.Node{}, started
	}}
	require.ErrorIs(t, Run(adapter)(context.Background(), io.Discard, Settings{}), started)
}
