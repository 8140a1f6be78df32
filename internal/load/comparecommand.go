package load

import (
	"fmt"
	"io"
	"sync"

	"github.com/spf13/cobra"

	"corianderhitch/internal/settings"
)

// CompareSettings are the flags of "hitchload compare".
type CompareSettings struct {
	MixSettings
	CallerSettings
	GatewaysA []string `flag:"gateways-a" usage:"base URLs of the first deployment's gateways" validate:"min=1,dive,url"`
	GatewaysB []string `flag:"gateways-b" usage:"base URLs of the second deployment's gateways" validate:"min=1,dive,url"`
	EnginesA  []string `flag:"engines-a" usage:"base URLs of the first deployment's engines" validate:"omitempty,dive,url"`
	EnginesB  []string `flag:"engines-b" usage:"base URLs of the second deployment's engines" validate:"omitempty,dive,url"`
	LabelA    string   `flag:"label-a" default:"a" usage:"name of the first deployment"`
	LabelB    string   `flag:"label-b" default:"b" usage:"name of the second deployment"`
}

// CompareCommand returns the command "hitchload compare".
func CompareCommand() *cobra.Command {
	var s CompareSettings
	cmd := &cobra.Command{
		Use:   "compare",
		Short: "Send the same arrivals to two deployments at the same time and compare them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Load(cmd.Flags(), &s); err != nil {
				return err
			}
			if err := s.validate(); err != nil {
				return err
			}
			results := runBoth(cmd, s)
			printComparison(cmd.OutOrStdout(), results[0], results[1])
			return printAndSave(cmd.OutOrStdout(), s.Out, results)
		},
	}
	settings.Register(cmd.Flags(), &s)
	return cmd
}

// runBoth loads both deployments at the same time, so that other work on the machine
// affects both alike.
func runBoth(cmd *cobra.Command, s CompareSettings) []Result {
	results := make([]Result, 2)
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		results[0] = runLoad(cmd.Context(), s.LabelA, s.MixSettings, s.CallerSettings, s.GatewaysA, s.EnginesA)
	}()
	go func() {
		defer both.Done()
		results[1] = runLoad(cmd.Context(), s.LabelB, s.MixSettings, s.CallerSettings, s.GatewaysB, s.EnginesB)
	}()
	both.Wait()
	return results
}

// printComparison prints the figures of two results and their ratio.
func printComparison(w io.Writer, a, b Result) {
	fmt.Fprintf(w, "%-22s %14s %14s %8s\n", "figure", a.Label, b.Label, "ratio")
	row := func(name string, x, y float64) {
		ratio := "-"
		if y != 0 {
			ratio = fmt.Sprintf("%.3f", x/y)
		}
		fmt.Fprintf(w, "%-22s %14.2f %14.2f %8s\n", name, x, y, ratio)
	}
	row("completed", float64(a.Completed), float64(b.Completed))
	row("tokens_per_second", a.TokensPerSecond, b.TokensPerSecond)
	row("preemptions", float64(a.Preemptions), float64(b.Preemptions))
	row("stall_seconds", a.StallSeconds, b.StallSeconds)
	row("first_token_p95_ms", ValueAt(a.FirstToken, 95), ValueAt(b.FirstToken, 95))
	row("inter_token_p50_ms", ValueAt(a.InterToken, 50), ValueAt(b.InterToken, 50))
	row("inter_token_p95_ms", ValueAt(a.InterToken, 95), ValueAt(b.InterToken, 95))
	row("inter_token_p99_ms", ValueAt(a.InterToken, 99), ValueAt(b.InterToken, 99))
	row("lookup_p99_ms", ValueAt(a.Lookup, 99), ValueAt(b.Lookup, 99))
}
