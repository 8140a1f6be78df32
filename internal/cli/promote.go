package cli

import (
	"context"

	"github.com/spf13/cobra"

	"corianderhitch/internal/docstore"
	"corianderhitch/internal/document"
)

func (a *app) promoteCommand() *cobra.Command {
	var flags changeFlags
	var from, to string
	var revision int64
	cmd := &cobra.Command{
		Use:   "promote --from trial --revision N --to production",
		Short: "Put an accepted revision of one environment in force in another",
		Args:  cobra.NoArgs,
		RunE: a.runWithTimeout(func(ctx context.Context, _ []string) error {
			if revision < 1 || from == "" || to == "" || from == to {
				return &usageError{"promote needs --from, --to (two different environments) and --revision of --from; see \"hitchctl history\""}
			}
			source, err := a.docs.AtRevision(ctx, from, revision)
			if err != nil {
				return err
			}
			content := source.Document
			content.Environment = to
			return a.execute(ctx, &flags, changePlan{
				environment: to,
				document:    content,
				commit: func(ctx context.Context, base int64) (document.Accepted, error) {
					return a.docs.Promote(ctx, docstore.PromoteRequest{
						From:     from,
						Revision: revision,
						To:       to,
						Base:     base,
						Operator: a.settings.operator(),
						Comment:  flags.comment,
					})
				},
			})
		}),
	}
	cmd.Flags().StringVar(&from, "from", "trial", "environment whose revision is carried over")
	cmd.Flags().StringVar(&to, "to", "production", "environment that receives it")
	cmd.Flags().Int64Var(&revision, "revision", 0, "accepted revision of --from")
	flags.register(cmd.Flags())
	return cmd
}
