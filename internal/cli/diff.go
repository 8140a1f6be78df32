package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"corianderhitch/internal/document"
)

// difference is the result of diff in JSON output.
type difference struct {
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
		RunE: a.command(func(ctx context.Context, args []string) error {
			d, err := a.readDocument(args[0])
			if err != nil {
				return err
			}
			before, err := a.revision(ctx, d.Environment, against)
			if err != nil {
				return err
			}
			return a.showDifference(difference{
				Environment: d.Environment,
				Base:        before.Revision,
				Changes:     document.Diff(before.Document, d),
			})
		}),
	}
	cmd.Flags().Int64Var(&against, "against", 0, "revision to compare with; 0 means the one in force")
	return cmd
}

// revision returns an accepted revision, or the one in force for 0.
func (a *app) revision(ctx context.Context, environment string, number int64) (document.Accepted, error) {
	if number == 0 {
		return a.currentOrNone(ctx, environment)
	}
	return a.docs.AtRevision(ctx, environment, number)
}

func (a *app) showDifference(d difference) error {
	return a.out.result(d, func(w io.Writer) {
		fmt.Fprintf(w, "against revision %d of %s:\n", d.Base, d.Environment)
		writeChanges(w, d.Changes)
	})
}
