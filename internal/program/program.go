// Package program runs the long-running programs of every host: it handles the command
// line, settings, signals and exit codes.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"corianderhitch/internal/settings"
)

// The exit codes of a Daemon, apart from 0 after an orderly stop.
const (
	ExitFailure     = 1 // the program failed to start or to stop
	ExitBadSettings = 2
)

// Daemon describes a program with settings of type T.
type Daemon[T any] struct {
	Name  string
	Short string // one sentence for --help
	// PrintConfig reports whether the program shall print its settings and exit.
	PrintConfig func(*T) bool
	// Run runs the program until ctx ends and logs to logs.
	Run func(ctx context.Context, logs io.Writer, s T) error
}

// Main runs the daemon until SIGTERM or SIGINT and exits the process with its exit code.
// Then the daemon drains: further SIGTERMs don't cut that short, since a platform may send
// several, but a second SIGINT, of a person who doesn't want to wait, ends the process.
func (d Daemon[T]) Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })
	err := d.Command().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", d.Name, err)
	}
	os.Exit(exitCode(err))
}

// Command returns the daemon's command, whose flags are its settings.
func (d Daemon[T]) Command() *cobra.Command {
	cmd := &cobra.Command{
		Use:           d.Name,
		Short:         d.Short,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &settings.Error{Problems: []string{err.Error() + "; see --help"}}
	})
	settings.Register(cmd.Flags(), new(T))
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s := new(T)
		if err := settings.Load(cmd.Flags(), s); err != nil {
			return err
		}
		if d.PrintConfig(s) {
			settings.Print(cmd.OutOrStdout(), s)
			return nil
		}
		return d.Run(cmd.Context(), os.Stderr, *s)
	}
	return cmd
}

func exitCode(err error) int {
	var settingsErr *settings.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &settingsErr):
		return ExitBadSettings
	default:
		return ExitFailure
	}
}
