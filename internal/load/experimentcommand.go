package load

import (
	"path/filepath"

	"github.com/spf13/cobra"

	"corianderhitch/internal/experiment"
)

// experimentFlags are the flags of "hitchload experiment".
type experimentFlags struct {
	scenario     string
	scenarioFile string
	scenarioDir  string
	policies     []string
	seed         uint64
	seeds        int
}

// ExperimentCommand returns the command "hitchload experiment".
func ExperimentCommand() *cobra.Command {
	var flags experimentFlags
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Run scheduling policies on the same seeded arrivals in virtual time",
		Long: "Runs each policy against stand-in engines in virtual time and prints one JSON line a policy,\n" +
			"then whether each target of the scenario is met. The same seed gives the same figures.\n" +
			"With --seeds above 1 it prints the median and the worst of the seeds that follow --seed.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runExperiment(cmd, flags) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.scenario, "scenario", "crowded", "name of a shipped scenario")
	f.StringVar(&flags.scenarioFile, "scenario-file", "", "path of a scenario file, in place of --scenario")
	f.StringVar(&flags.scenarioDir, "scenario-dir", "scenarios", "directory of the shipped scenarios")
	f.Uint64Var(&flags.seed, "seed", 1, "first seed")
	f.IntVar(&flags.seeds, "seeds", 1, "number of seeds")
	f.StringSliceVar(&flags.policies, "policies", nil, "policies to run; all if empty")
	return cmd
}

func runExperiment(cmd *cobra.Command, flags experimentFlags) error {
	path := flags.scenarioFile
	if path == "" {
		path = filepath.Join(flags.scenarioDir, flags.scenario+".yaml")
	}
	s, err := experiment.Load(path)
	if err != nil {
		return err
	}
	return experiment.Compare(cmd.OutOrStdout(), &s, flags.seed, flags.seeds, flags.policies)
}
