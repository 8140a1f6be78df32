// Package cli is the operators' command line hitchctl: documents, status and
// explanations. It talks to the platform's store and to any agent.
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

// app is one run of hitchctl.
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
	code, kind := failure(err)
	a.out.failure(kind, err)
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
		a.storyCommand(),
		a.keyCommand(),
		a.schemaCommand(),
	)
	completeValues(root)
	return root
}

// prepare loads the settings and connects. Nothing is called yet.
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

// dialer connects to agents, by TLS if it is set up. One command is too short to
// need reloading.
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

// command wraps a command's function with its time bound and marks its errors.
func (a *app) command(do func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), a.settings.Timeout)
		defer cancel()
		if err := do(ctx, args); err != nil {
			return &commandError{cause: err}
		}
		return nil
	}
}

// completeValues lets the shell complete settings with few values.
func completeValues(root *cobra.Command) {
	values := cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp)
	// The only error is a flag that does not exist or stands twice.
	_ = root.RegisterFlagCompletionFunc("output", values)
}
