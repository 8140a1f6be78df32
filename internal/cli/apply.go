package cli

import (
	"context"

	"github.com/spf13/cobra"

	"corianderhitch/internal/docstore"
	"corianderhitch/internal/document"
)

func (a *app) applyCommand() *cobra.Command {
	var flags changeFlags
	var above int64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a document in force",
		Args:  cobra.ExactArgs(1),
		RunE: a.runWithTimeout(func(ctx context.Context, args []string) error {
			d, err := a.readDocument(args[0])
			if err != nil {
				return err
			}
			return a.execute(ctx, &flags, changePlan{
				environment: d.Environment,
				document:    d,
				commit: func(ctx context.Context, base int64) (document.Accepted, error) {
					return a.docs.Apply(ctx, docstore.ApplyRequest{
						Environment: d.Environment,
						Base:        base,
						Document:    d,
						Operator:    a.settings.operator(),
						Comment:     flags.comment,
						Above:       above,
					})
				},
			})
		}),
	}
	flags.register(cmd.Flags())
	cmd.Flags().Int64Var(&above, "above", 0, "make the revision higher than this one, after the store lost revisions that hosts hold")
	return cmd
}
