package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"corianderhitch/internal/document"
)

// validateResult is the JSON output of validate.
type validateResult struct {
	File        string `json:"file"`
	Environment string `json:"environment"`
	Models      int    `json:"models"`
	Accounts    int    `json:"accounts"`
	Services    int    `json:"services"`
}

func (a *app) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a document without changing anything",
		Args:  cobra.ExactArgs(1),
		RunE: a.runWithTimeout(func(_ context.Context, args []string) error {
			d, err := a.readDocument(args[0])
			if err != nil {
				return err
			}
			v := validateResult{
				File:        args[0],
				Environment: d.Environment,
				Models:      len(d.Models),
				Accounts:    len(d.Accounts),
				Services:    len(d.Services),
			}
			return a.out.writeResult(v, func(w io.Writer) {
				fmt.Fprintf(w, "%s is valid: environment %s, %d models, %d accounts, %d services\n",
					v.File, v.Environment, v.Models, v.Accounts, v.Services)
			})
		}),
	}
}

func (a *app) schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of documents, for editors",
		Args:  cobra.NoArgs,
		RunE: a.runWithTimeout(func(context.Context, []string) error {
			_, err := a.out.stdout.Write(document.Schema())
			return err
		}),
	}
}
