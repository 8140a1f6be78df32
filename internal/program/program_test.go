package program

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

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

// mainEnv makes the test program run a daemon that drains forever.
const mainEnv = "PROGRAM_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainEnv) != "" {
		os.Args = os.Args[:1]
		d := testDaemon(nil)
		d.Run = func(ctx context.Context, _ io.Writer, _ testSettings) error {
			fmt.Println("started")
			<-ctx.Done()
			fmt.Println("draining")
			select {}
		}
		go func() { time.Sleep(20 * time.Second); os.Exit(3) }()
		d.Main()
	}
	os.Exit(m.Run())
}

// A repeated SIGTERM must not end a process that drains; a repeated SIGINT must.
func TestRepeatedSignalsWhileDraining(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), mainEnv+"=1")
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	lines := bufio.NewScanner(out)
	require.True(t, lines.Scan())
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.True(t, lines.Scan())
	require.Equal(t, "draining", lines.Text())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-ended:
		t.Fatal("the second SIGTERM ended the process")
	case <-time.After(300 * time.Millisecond):
	}
	require.NoError(t, cmd.Process.Signal(os.Interrupt))
	select {
	case <-ended:
		require.Equal(t, syscall.SIGINT, cmd.ProcessState.Sys().(syscall.WaitStatus).Signal())
	case <-time.After(10 * time.Second):
		t.Fatal("the SIGINT did not end the process")
	}
}
