// Command agent runs the control duties of one host.
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

	"corianderhitch/internal/agent"
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
	fmt.Fprintln(os.Stderr, "agent:", err)
	var bad *settings.Error
	if errors.As(err, &bad) {
		os.Exit(exitBadSettings)
	}
	os.Exit(exitFailed)
}

func command() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "agent",
		Short:         "Run the control duties of one host",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	settings.Register(cmd.Flags(), new(agent.Settings))
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var s agent.Settings
		if err := settings.Load(cmd.Flags(), &s); err != nil {
			return err
		}
		if s.PrintConfig {
			settings.Print(cmd.OutOrStdout(), &s)
			return nil
		}
		return agent.Run(cmd.Context(), os.Stderr, s)
	}
	return cmd
}
