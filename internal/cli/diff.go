package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"corianderhitch/internal/document"
)

// diffResult is the JSON output of diff.
type diffResult struct {
	Environment string            `json:"environment"`
	Base        int64             `json:"base"` // revision compared with; 0 if there is none
	Changes     []document.Change `json:"changes"`
}

func (a *app) diffCommand() *cobra.Command {
	var against int64
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a document would change, and the effect",
		Args:  cobra.ExactArgs(1),
		RunE: a.runWithTimeout(func(ctx context.Context, args []string) error {
			d, err := a.readDocument(args[0])
			if err != nil {
				return err
			}
			before, err := a.revisionOrCurrent(ctx, d.Environment, against)
			if err != nil {
				return err
			}
			return a.writeDiff(diffResult{
				Environment: d.Environment,
				Base:        before.Revision,
				Changes:     document.Diff(before.Document, d),
			})
		}),
	}
	cmd.Flags().Int64Var(&against, "against", 0, "revision to compare with; 0 means the one in force")
	return cmd
}

// revisionOrCurrent returns an accepted revision, or the one in force if number is 0.
func (a *app) revisionOrCurrent(ctx context.Context, environment string, number int64) (document.Accepted, error) {
	if number == 0 {
		return a.currentOrEmpty(ctx, environment)
	}
	return a.docs.AtRevision(ctx, environment, number)
}

func (a *app) writeDiff(d diffResult) error {
	return a.out.writeResult(d, func(w io.Writer) {
		fmt.Fprintf(w, "against revision %d of %s:\n", d.Base, d.Environment)
		writeChanges(w, d.Changes)
	})
}
