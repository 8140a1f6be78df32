package cli

import (
	"context"

	"github.com/spf13/cobra"

	"corianderhitch/internal/docstore"
	"corianderhitch/internal/document"
)

func (a *app) rollbackCommand() *cobra.Command {
	var flags changeFlags
	var revision int64
	cmd := &cobra.Command{
		Use:   "rollback --to-revision N",
		Short: "Put the content of an earlier revision in force, as a new revision",
		Args:  cobra.NoArgs,
		RunE: a.runWithTimeout(func(ctx context.Context, _ []string) error {
			environment, err := a.requireEnvironment()
			if err != nil {
				return err
			}
			if revision < 1 {
				return &usageError{"rollback needs --to-revision; see \"hitchctl history\""}
			}
			source, err := a.docs.AtRevision(ctx, environment, revision)
			if err != nil {
				return err
			}
			return a.execute(ctx, &flags, changePlan{
				environment: environment,
				document:    source.Document,
				commit: func(ctx context.Context, base int64) (document.Accepted, error) {
					return a.docs.Rollback(ctx, docstore.RollbackRequest{
						Environment: environment,
						ToRevision:  revision,
						Base:        base,
						Operator:    a.settings.operator(),
						Comment:     flags.comment,
					})
				},
			})
		}),
	}
	cmd.Flags().Int64Var(&revision, "to-revision", 0, "accepted revision whose content shall be in force again")
	flags.register(cmd.Flags())
	return cmd
}
