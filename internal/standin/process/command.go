// Package process holds what the stand-in programs share: the command with its
// settings, the HTTP server that stops in order, and the entry in the platform's
// host list.
package process

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/spf13/cobra"

	"corianderhitch/internal/logging"
	"corianderhitch/internal/settings"
)

// Common are the settings of every stand-in.
type Common struct {
	logging.Settings
	Listen      string `flag:"listen" default:"127.0.0.1:0" usage:"ip:port to listen on; port 0 picks a free one, which is logged" validate:"required,hostname_port|tcp_addr"`
	PrintConfig bool   `flag:"print-config" usage:"print the settings and exit"`
}

// Base returns the common settings. Settings structs that embed Common inherit
// it.
func (c Common) Base() Common { return c }

// Runner is a pointer to a settings struct that embeds Common.
type CommandSettings[T any] interface {
	*T
	Base() Common
}

// Command returns a cobra command that loads settings of type T and runs until
// SIGTERM or SIGINT ends the context.
func Command[T any, P CommandSettings[T]](use, short string, run func(ctx context.Context, s T, log *slog.Logger) error) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, SilenceUsage: true}
	settings.Register(cmd.Flags(), new(T))
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s := new(T)
		if err := settings.Load(cmd.Flags(), s); err != nil {
			return err
		}
		base := P(s).Base()
		if base.PrintConfig {
			settings.Print(cmd.OutOrStdout(), s)
			return nil
		}
		limitProcessors()
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return run(ctx, *s, logging.New(os.Stderr, base.Settings))
	}
	return cmd
}

// maxThreads bounds the processors that a stand-in uses, so that a dozen of them
// leave the machine to what is under test.
const maxProcessors = 2

func limitProcessors() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcessors, runtime.GOMAXPROCS(0)))
	}
}
