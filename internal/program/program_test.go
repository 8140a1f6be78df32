package program

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

type testSettings struct {
	Count       int  `flag:"count" default:"3" usage:"how many" validate:"min=1"`
	PrintConfig bool `flag:"print-config" usage:"print the settings and exit"`
}

func testDaemon(run func(testSettings) error) Daemon[testSettings] {
	return Daemon[testSettings]{
		Name:        "sample",
		PrintConfig: func(s *testSettings) bool { return s.PrintConfig },
		Run:         func(_ context.Context, _ io.Writer, s testSettings) error { return run(s) },
	}
}

func TestExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		err  error
		want int
	}{
		"orderly":       {want: 0},
		"failed":        {err: errors.New("x"), want: ExitFailure},
		"bad setting":   {args: []string{"--count=0"}, want: ExitBadSettings},
		"unknown flag":  {args: []string{"--cuont=1"}, want: ExitBadSettings},
		"print, no run": {args: []string{"--print-config"}, err: errors.New("must not run"), want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := testDaemon(func(testSettings) error { return c.err }).Command()
			var out bytes.Buffer
			cmd.SetOut(&out)
			cmd.SetErr(&out)
			cmd.SetArgs(c.args)
			require.Equal(t, c.want, exitCode(cmd.ExecuteContext(t.Context())))
		})
	}
}
