package load

import "github.com/spf13/cobra"

// Command returns the root command of hitchload, without the commands of package
// capacity.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:          "hitchload",
		Short:        "Measure corianderhitch",
		SilenceUsage: true,
	}
	root.AddCommand(ExperimentCommand(), RunCommand(), CompareCommand(), OverheadCommand(), ReportCommand())
	return root
}
