package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"corianderhitch/internal/docstore"
)

// pruneResult is the JSON output of prune.
type pruneResult struct {
	Environment string `json:"environment"`
	DryRun      bool   `json:"dry_run,omitempty"`
	docstore.PruneResult
}

func (a *app) pruneCommand() *cobra.Command {
	var keep int64
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "prune",
		Short: "Remove old revisions from the store",
		Args:  cobra.NoArgs,
		RunE: a.runWithTimeout(func(ctx context.Context, _ []string) error {
			environment, err := a.requireEnvironment()
			if err != nil {
				return err
			}
			if keep < docstore.MinKeptRevisions {
				return &usageError{fmt.Sprintf("--keep is %d; keep at least %d revisions", keep, docstore.MinKeptRevisions)}
			}
			pruned, err := a.docs.Prune(ctx, docstore.PruneRequest{Environment: environment, Keep: keep, DryRun: dryRun})
			if err != nil {
				return err
			}
			return a.out.writeResult(pruneResult{Environment: environment, DryRun: dryRun, PruneResult: pruned}, func(w io.Writer) {
				verb := "removed"
				if dryRun {
					verb = "would remove"
				}
				fmt.Fprintf(w, "%s %d history entries of %s and %d parts of documents, %d bytes\n",
					verb, pruned.Entries, environment, pruned.Chunks, pruned.Bytes)
			})
		}),
	}
	cmd.Flags().Int64Var(&keep, "keep", 100, "number of revisions below the one in force that stay")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "count, remove nothing")
	return cmd
}
