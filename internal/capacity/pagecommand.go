package capacity

import (
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"corianderhitch/internal/settings"
)

// PageSettings are the flags of "hitchload capacity".
type PageSettings struct {
	Measurements string `flag:"measurements" default:"docs/measurements" usage:"directory of the measured points" validate:"required"`
	Page         string `flag:"page" default:"docs/CAPACITY.md" usage:"page whose generated blocks are written anew" validate:"required"`
}

// PageCommand returns the command "hitchload capacity".
func PageCommand() *cobra.Command {
	var s PageSettings
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Fit the measured points and write the tables of the capacity page",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Load(cmd.Flags(), &s); err != nil {
				return err
			}
			return writePage(s)
		},
	}
	settings.Register(cmd.Flags(), &s)
	return cmd
}

// writePage replaces the generated tables of the page by those of the current
// measurements.
func writePage(s PageSettings) error {
	fits, err := FitMeasurements(s.Measurements)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(s.Page)
	if err != nil {
		return eris.Wrap(err, "cannot read the page; correct --page")
	}
	text, err := replaceBlocks(string(page), map[string]string{
		"slopes":   fitsTable(fits),
		"roles":    rolesTable(ProjectedSize, fits),
		"store":    storeTable(ProjectedSize, fits),
		"failures": failuresTable(ProjectedSize),
	})
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(s.Page, []byte(text), 0o644), "cannot write the page")
}
