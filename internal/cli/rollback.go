package cli

import (
	"context"

	"github.com/spf13/cobra"

	"corianderhitch/internal/docstore"
	"corianderhitch/internal/document"
)

func (a *app) rollbackCommand() *cobra.Command {
	var f changeFlags
	var revision int64
	cmd := &cobra.Command{
		Use:   "rollback --to-revision N",
		Short: "Put the content of an earlier revision in force, as a new revision",
		Args:  cobra.NoArgs,
		RunE: a.command(func(ctx context.Context, _ []string) error {
			environment, err := a.environment()
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
			return a.carryOut(ctx, &f, plan{
				environment: environment,
				document:    source.Document,
				accept: func(ctx context.Context, base int64) (document.Accepted, error) {
					return a.docs.Rollback(ctx, docstore.RollbackRequest{
						Environment: environment,
						ToRevision:  revision,
						Base:        base,
						Operator:    a.settings.operator(),
						Comment:     f.comment,
					})
				},
			})
		}),
	}
	cmd.Flags().Int64Var(&revision, "to-revision", 0, "accepted revision whose content shall be in force again")
	f.register(cmd.Flags())
	return cmd
}
