package drill

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"corianderhitch/internal/drill/deployment"
	"corianderhitch/internal/drill/record"
)

// Command returns the command "hitchload drill".
func Command(p Platform) *cobra.Command {
	var o Options
	cmd := &cobra.Command{
		Use:   "drill FILE",
		Short: "Run a whole deployment as real processes, disturb it, and judge what callers see",
		Long:  "FILE describes the deployment, in the format of deploy/drill or in that of the platform.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := deployment.Read(args[0])
			if errors.Is(err, deployment.ErrOtherFormat) {
				d, err = p.ReadDeployment(args[0])
			}
			if err != nil {
				return err
			}
			if o.Out == "" {
				o.Out = filepath.Join(os.TempDir(), fmt.Sprintf("drill-%s-%d", d.Name, o.Seed))
			}
			if o.EdgePath == "" {
				o.EdgePath = besideProgram("edge")
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			result, err := Run(ctx, p, d, o)
			if err != nil {
				return err
			}
			printResult(cmd.OutOrStdout(), d, result)
			return verdict(cmd.OutOrStdout(), result.Run, o.Out)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the disturbances")
	flags.DurationVar(&o.For, "for", time.Minute, "how long disturbances are played")
	flags.StringVar(&o.EdgePath, "edge", "", "program of the hosts; edge beside this program by default")
	flags.StringVar(&o.EdgeBefore, "edge-before", "", "program with which each host starts at first, as before an upgrade; that of --edge by default")
	flags.StringVar(&o.Out, "out", "", "directory of the record and the hosts' logs; one under the temporary directory by default")
	flags.IntVar(&o.Load, "load", 0, "busy loops beside the run")
	flags.BoolVar(&o.Planned, "planned", false, "play planned work only")
	flags.BoolVar(&o.Fragile, "fragile-copies", false, "a copy of a run can't be used while more is added to it, nor if that fails")
	flags.StringSliceVar(&o.Only, "only", nil, "names of the disturbances that are played, comma-separated; all by default")
	cmd.AddCommand(burnCommand(), judgeCommand())
	return cmd
}

// besideProgram returns the path of a program in the directory of this one.
func besideProgram(name string) string {
	path, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(path), name)
}

func burnCommand() *cobra.Command {
	var loops int
	cmd := &cobra.Command{
		Use:    "burn",
		Short:  "Keep processors busy",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if loops < 1 {
				return eris.Errorf("--loops is %d; it must be positive", loops)
			}
			burn(cmd.Context(), loops)
			return nil
		},
	}
	cmd.Flags().IntVar(&loops, "loops", 1, "busy loops")
	return cmd
}

// verdict prints the broken rules and returns an error if there are any.
func verdict(w io.Writer, run *record.Run, dir string) error {
	if n := printVerdict(w, run, dir); n > 0 {
		return eris.Errorf("%s, seed %d: %d rules broken", run.Deployment.Name, run.Seed, n)
	}
	return nil
}

func judgeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "judge DIRECTORY",
		Short: "Judge a run again by its record",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			run, err := readRecord(filepath.Join(args[0], recordName))
			if err != nil {
				return err
			}
			return verdict(cmd.OutOrStdout(), run, args[0])
		},
	}
}
