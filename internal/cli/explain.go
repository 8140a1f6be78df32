package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"corianderhitch/api/control"
)

// explainResult is the JSON output of explain.
type explainResult struct {
	Account   string   `json:"account"`
	RequestID string   `json:"request_id"`
	Found     bool     `json:"found"`
	Lines     []string `json:"lines"` // one decision per line, oldest first
}

func (a *app) explainCommand() *cobra.Command {
	var account string
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID (--account NAME | LOG-FILE...)",
		Short: "Explain the decisions on a request, from the agents' memory or from logs (- is standard input)",
		Args:  cobra.MinimumNArgs(1),
		RunE: a.runWithTimeout(func(ctx context.Context, args []string) error {
			switch files := args[1:]; {
			case account == "" && len(files) > 0:
				return a.showTimeline(args[0], files)
			case account == "":
				return &usageError{"explain needs --account, because request ids are only unique within an account, or log files"}
			case len(files) > 0:
				return &usageError{"explain takes either --account or log files"}
			}
			reply, _, err := callAnyAgent[control.ExplainReply](ctx, a, "Control.Explain",
				control.ExplainArgs{Account: account, RequestID: args[0]})
			if err != nil {
				return err
			}
			e := explainResult{Account: account, RequestID: args[0], Found: reply.Found, Lines: reply.Lines}
			return a.out.writeResult(e, func(w io.Writer) { writeExplanation(w, e) })
		}),
	}
	cmd.Flags().StringVar(&account, "account", "", "client account that sent the request")
	return cmd
}

func writeExplanation(w io.Writer, e explainResult) {
	if !e.Found {
		fmt.Fprintf(w, "no agent remembers request %s of %s; it may have ended some time ago, or never arrived\n", e.RequestID, e.Account)
		return
	}
	for _, line := range e.Lines {
		fmt.Fprintln(w, line)
	}
}
