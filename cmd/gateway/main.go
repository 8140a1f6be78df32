// Command gateway serves callers on one host.
//
// Exit codes: 0 after SIGTERM or SIGINT, 1 if it cannot start, 2 for bad settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"corianderhitch/internal/gateway"
	"corianderhitch/internal/settings"
)

const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := command().ExecuteContext(ctx)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "gateway:", err)
	var bad *settings.Error
	if errors.As(err, &bad) {
		os.Exit(exitBadSettings)
	}
	os.Exit(exitFailed)
}

func command() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "gateway",
		Short:         "Serve callers on one host",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	settings.Register(cmd.Flags(), new(gateway.Settings))
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var s gateway.Settings
		if err := settings.Load(cmd.Flags(), &s); err != nil {
			return err
		}
		if s.PrintConfig {
			settings.Print(cmd.OutOrStdout(), &s)
			return nil
		}
		return gateway.Run(cmd.Context(), os.Stderr, s)
	}
	return cmd
}
