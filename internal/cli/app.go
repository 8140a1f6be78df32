// Package cli implements hitchctl, the operators' command line for documents, status
// and explanations of requests. It calls the platform's store and any agent.
package cli

import (
	"context"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"corianderhitch/internal/docstore"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/platform/kvhttp"
	"corianderhitch/internal/rpcconn"
	"corianderhitch/internal/settings"
	"corianderhitch/internal/tlskeys"
)

// app is one invocation of hitchctl.
type app struct {
	settings Settings
	out      output
	store    platform.Store
	docs     *docstore.Store
	agents   *rpcconn.Pool
	// openStore connects to the platform's store at a URL; tests replace it.
	openStore func(url string) platform.Store
}

// Run executes hitchctl with arguments and returns its exit code. It writes
// results to stdout and errors to stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{openStore: func(url string) platform.Store { return kvhttp.New(url, kvhttp.Options{}) }}
	return a.run(ctx, args, stdout, stderr)
}

func (a *app) run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a.out = output{stdout: stdout, stderr: stderr}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	a.close()
	if err == nil {
		return ExitOK
	}
	code, kind := classifyError(err)
	a.out.writeError(kind, err)
	return code
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:               "hitchctl",
		Short:             "Operate corianderhitch by environment documents",
		SilenceErrors:     true,
		SilenceUsage:      true,
		PersistentPreRunE: a.prepare,
	}
	settings.Register(root.PersistentFlags(), &a.settings)
	root.AddCommand(
		a.validateCommand(),
		a.diffCommand(),
		a.applyCommand(),
		a.promoteCommand(),
		a.rollbackCommand(),
		a.historyCommand(),
		a.showCommand(),
		a.pruneCommand(),
		a.statusCommand(),
		a.explainCommand(),
		a.releaseCommand(),
		a.storyCommand(),
		a.quarantineCommand(),
		a.keyCommand(),
		a.schemaCommand(),
	)
	registerCompletions(root)
	return root
}

// prepare loads the settings and creates the clients of the store and the agents. It
// calls neither yet.
func (a *app) prepare(cmd *cobra.Command, _ []string) error {
	if cmd.Name() == "help" || cmd.HasParent() && cmd.Parent().Name() == "completion" {
		return nil
	}
	if err := settings.Load(cmd.Flags(), &a.settings); err != nil {
		return err
	}
	a.out.json = a.settings.Output == "json"
	if a.settings.PrintConfig {
		settings.Print(a.out.stdout, &a.settings)
		cmd.RunE = func(*cobra.Command, []string) error { return nil }
		return nil
	}
	dial, err := a.dialer()
	if err != nil {
		return err
	}
	a.store = a.openStore(a.settings.Store)
	a.docs = docstore.New(a.store)
	a.agents = rpcconn.NewPool(dial)
	return nil
}

// dialer returns the dialer for agents, which uses TLS if it is configured.
// Certificates are not reloaded, because a command is short.
func (a *app) dialer() (rpcconn.Dialer, error) {
	if !a.settings.Settings.Enabled() {
		return rpcconn.TCP, nil
	}
	material, err := tlskeys.Open(a.settings.Settings, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return material.Dial, nil
}

func (a *app) close() {
	if a.agents != nil {
		a.agents.Close()
	}
	if c, ok := a.store.(interface{ Close() }); ok {
		c.Close()
	}
}

// runWithTimeout limits a command's function by --timeout and wraps its errors in a
// commandError.
func (a *app) runWithTimeout(run func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), a.settings.Timeout)
		defer cancel()
		if err := run(ctx, args); err != nil {
			return &commandError{cause: err}
		}
		return nil
	}
}

// registerCompletions registers shell completions for settings with few values.
func registerCompletions(root *cobra.Command) {
	values := cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp)
	// It fails only if the flag does not exist or has a completion already.
	_ = root.RegisterFlagCompletionFunc("output", values)
}
