// Package process holds what the stand-in programs share: the command with its
// flags, an HTTP server with graceful shutdown, and the registration in the host
// list of the stand-in store.
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

// Common are the flags of every stand-in.
type Common struct {
	logging.Settings
	Listen      string `flag:"listen" default:"127.0.0.1:0" usage:"ip:port to listen on; port 0 picks a free one, which is logged" validate:"required,hostname_port|tcp_addr"`
	PrintConfig bool   `flag:"print-config" usage:"print the settings and exit"`
}

// Base returns the common flags. Settings structs that embed Common inherit it.
func (c Common) Base() Common { return c }

// CommandSettings is a pointer to a settings struct that embeds Common.
type CommandSettings[T any] interface {
	*T
	Base() Common
}

// Command returns a cobra command that loads settings of type T and calls run with a
// context that is canceled by SIGTERM or SIGINT.
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

// maxProcessors limits GOMAXPROCS, so that a dozen stand-ins leave the processors of
// the machine to the programs under test.
const maxProcessors = 2

// limitProcessors lowers GOMAXPROCS to maxProcessors unless the environment sets it.
func limitProcessors() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcessors, runtime.GOMAXPROCS(0)))
	}
}
