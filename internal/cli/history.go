package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v4"

	"corianderhitch/internal/docstore"
)

// historyResult is the JSON output of history.
type historyResult struct {
	Environment string                  `json:"environment"`
	Revisions   []docstore.HistoryEntry `json:"revisions"` // newest first
}

func (a *app) historyCommand() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the accepted revisions of an environment, newest first",
		Args:  cobra.NoArgs,
		RunE: a.runWithTimeout(func(ctx context.Context, _ []string) error {
			environment, err := a.requireEnvironment()
			if err != nil {
				return err
			}
			entries, err := a.docs.History(ctx, environment, limit)
			if err != nil {
				return err
			}
			return a.out.writeResult(historyResult{Environment: environment, Revisions: entries}, func(w io.Writer) {
				writeHistory(w, entries)
			})
		}),
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of revisions; 0 means all")
	return cmd
}

func writeHistory(w io.Writer, entries []docstore.HistoryEntry) {
	var rows []string
	for _, e := range entries {
		rows = append(rows, joinCells(e.Revision, e.AcceptedAt.UTC().Format(time.RFC3339), e.Operator, e.Origin, e.Attempt, e.Comment))
	}
	writeTable(w, "REVISION\tACCEPTED\tOPERATOR\tORIGIN\tATTEMPT\tCOMMENT", rows)
}

func (a *app) showCommand() *cobra.Command {
	var revision int64
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print an accepted document",
		Args:  cobra.NoArgs,
		RunE: a.runWithTimeout(func(ctx context.Context, _ []string) error {
			environment, err := a.requireEnvironment()
			if err != nil {
				return err
			}
			accepted, err := a.revisionOrCurrent(ctx, environment, revision)
			if err != nil {
				return err
			}
			if accepted.Revision == 0 {
				return &usageError{fmt.Sprintf("environment %q has no document; apply one", environment)}
			}
			source, err := yaml.Dump(accepted.Document, yaml.WithV4Defaults())
			if err != nil {
				return err
			}
			return a.out.writeResult(accepted, func(w io.Writer) {
				fmt.Fprintf(w, "# revision %d of %s, by %s (%s)\n%s", accepted.Revision, environment, accepted.Operator, accepted.Origin, source)
			})
		}),
	}
	cmd.Flags().Int64Var(&revision, "revision", 0, "accepted revision; 0 means the one in force")
	return cmd
}
