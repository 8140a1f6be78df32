package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"corianderhitch/internal/settings"
)

// RunSettings are the flags of "hitchload run".
type RunSettings struct {
	MixSettings
	CallerSettings
	Gateways []string `flag:"gateways" usage:"base URLs of the gateways, comma-separated" validate:"min=1,dive,url"`
	Engines  []string `flag:"engines" usage:"base URLs of engines whose preemptions are counted" validate:"omitempty,dive,url"`
	Label    string   `flag:"label" default:"run" usage:"name of the run in the result"`
}

// RunCommand returns the command "hitchload run".
func RunCommand() *cobra.Command {
	var s RunSettings
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Drive gateways with seeded arrivals and report what callers see",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Load(cmd.Flags(), &s); err != nil {
				return err
			}
			if err := s.validate(); err != nil {
				return err
			}
			result := runLoad(cmd.Context(), s.Label, s.MixSettings, s.CallerSettings, s.Gateways, s.Engines)
			return printAndSave(cmd.OutOrStdout(), s.Out, []Result{result})
		},
	}
	settings.Register(cmd.Flags(), &s)
	return cmd
}

// runLoad sends the plan of the mix to the gateways. Preemptions are counted at the
// given engines.
func runLoad(ctx context.Context, label string, mix MixSettings, target CallerSettings, gateways, engines []string) Result {
	caller := &GatewayCaller{Gateways: gateways, Keys: target.Keys, Model: target.Model, Service: target.Service, Client: newHTTPClient()}
	recorder := NewRecorder()
	before := totalPreemptions(ctx, engines)
	elapsed := SendPlan(ctx, NewPlan(mix.Mix(len(target.Keys))), caller, recorder)
	result := recorder.Result(label, uint64(mix.Seed), elapsed)
	result.Preemptions = totalPreemptions(ctx, engines) - before
	return result
}

// printAndSave prints the results and writes them to dir unless it is empty. It returns
// an error if a result contains an invariant violation, so that the command fails.
func printAndSave(w io.Writer, dir string, results []Result) error {
	for _, r := range results {
		printResult(w, r)
	}
	if dir != "" {
		if err := saveResults(dir, results); err != nil {
			return err
		}
	}
	for _, r := range results {
		if len(r.Violations) > 0 {
			return fmt.Errorf("%s: %d invariant violations, the first: %s", r.Label, len(r.Violations), r.Violations[0])
		}
	}
	return nil
}

func printResult(w io.Writer, r Result) {
	fmt.Fprintf(w, "%s: seed %d, %.1f s\n", r.Label, r.Seed, r.Seconds)
	fmt.Fprintf(w, "  offered %d, completed %d, refused %v, failed %v, violations %d\n",
		r.Offered, r.Completed, r.Rejected, r.Failed, len(r.Violations))
	fmt.Fprintf(w, "  tokens %d (%.0f/s), preemptions %d, stall %.2f s\n", r.Tokens, r.TokensPerSecond, r.Preemptions, r.StallSeconds)
	printPercentiles(w, "first token", r.FirstToken)
	printPercentiles(w, "inter token", r.InterToken)
	printPercentiles(w, "lookup", r.Lookup)
	printPercentiles(w, "hold", r.Hold)
}

func printPercentiles(w io.Writer, name string, points []Percentile) {
	if len(points) == 0 {
		return
	}
	fmt.Fprintf(w, "  %-12s", name)
	for _, p := range points {
		fmt.Fprintf(w, " p%g %.2f ms", p.Percent, p.MS)
	}
	fmt.Fprintln(w)
}

func saveResults(dir string, results []Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	body, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), body, 0o644); err != nil {
		return err
	}
	return plotResults(dir, results)
}
