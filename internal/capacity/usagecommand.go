package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"corianderhitch/internal/settings"
)

// UsageSettings are the flags of "hitchload usage".
type UsageSettings struct {
	Processes         []string      `flag:"process" usage:"process ids, or files that hold one, each with =URL of its metrics if it counts net/rpc bytes" validate:"min=1"`
	Period            time.Duration `flag:"for" default:"30s" usage:"time to measure" validate:"min=1s"`
	Role              string        `flag:"role" default:"agent" usage:"role of the processes" validate:"required"`
	Series            string        `flag:"series" default:"trial" usage:"name of the series that the point belongs to" validate:"required"`
	Hosts             int           `flag:"hosts" usage:"hosts of the deployment" validate:"min=0"`
	Targets           int           `flag:"targets" usage:"targets of the deployment" validate:"min=0"`
	RequestsPerSecond float64       `flag:"requests" usage:"requests a second that are offered" validate:"min=0"`
	TokensPerSecond   float64       `flag:"tokens" usage:"tokens a second that are delivered" validate:"min=0"`
	Accounts          int           `flag:"accounts" usage:"client accounts in the document" validate:"min=0"`
	ChangesPerSecond  float64       `flag:"changes" usage:"changes of the document a second" validate:"min=0"`
	StoreURL          string        `flag:"store" usage:"base URL of the stand-in store whose calls are counted; empty for none" validate:"omitempty,url"`
	Command           string        `flag:"by" usage:"command that is noted in the point"`
	Out               string        `flag:"out" usage:"file of JSON lines to which the point is added; empty for none"`
}

// UsageCommand returns the command "hitchload usage".
func UsageCommand() *cobra.Command {
	var s UsageSettings
	cmd := &cobra.Command{
		Use:   "usage",
		Short: "Measure processor time, memory and bytes of running processes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Load(cmd.Flags(), &s); err != nil {
				return err
			}
			point, err := measure(cmd.Context(), s)
			if err != nil {
				return err
			}
			printPoint(cmd.OutOrStdout(), point)
			if s.Out == "" {
				return nil
			}
			return AppendPoints(s.Out, []Point{point})
		},
	}
	settings.Register(cmd.Flags(), &s)
	return cmd
}

// measure observes the processes and the store for the period of the settings and
// returns the result.
func measure(ctx context.Context, s UsageSettings) (Point, error) {
	processes := make([]measuredProcess, len(s.Processes))
	for i, text := range s.Processes {
		p, err := parseProcess(text)
		if err != nil {
			return Point{}, err
		}
		processes[i] = p
	}
	before, err := readStoreCounts(ctx, s.StoreURL)
	if err != nil {
		return Point{}, err
	}
	usages, elapsed, err := measureUsage(ctx, processes, s.Period)
	if err != nil {
		return Point{}, err
	}
	after, err := readStoreCounts(ctx, s.StoreURL)
	if err != nil {
		return Point{}, err
	}
	point := newPoint(s, usages, elapsed)
	point.Store = storeLoadBetween(before, after, elapsed)
	return point, nil
}

func newPoint(s UsageSettings, usages []processUsage, elapsed time.Duration) Point {
	summarize := func(metric func(processUsage) float64) MeanAndMax {
		values := make([]float64, len(usages))
		for i, u := range usages {
			values[i] = metric(u)
		}
		return meanAndMax(values)
	}
	return Point{
		Series: s.Series, Role: s.Role, Command: s.Command,
		Date: time.Now().UTC().Format(time.RFC3339), LoadAverage: loadAverage(), Seconds: elapsed.Seconds(),
		Hosts: s.Hosts, Targets: s.Targets, RequestsPerSecond: s.RequestsPerSecond, TokensPerSecond: s.TokensPerSecond,
		Accounts: s.Accounts, ChangesPerSecond: s.ChangesPerSecond,
		Processes:      len(usages),
		CorePercent:    summarize(func(u processUsage) float64 { return u.cpuPercent }),
		ResidentMB:     summarize(func(u processUsage) float64 { return u.residentMB }),
		KBPerSecond:    summarize(func(u processUsage) float64 { return u.kbPerSecond }),
		RPCKBPerSecond: summarize(func(u processUsage) float64 { return u.rpcKBPerSecond }),
	}
}

func printPoint(w io.Writer, p Point) {
	fmt.Fprintf(w, "%s: %d %s processes, %d hosts, %d targets, %.1f s, load average %.1f\n",
		p.Series, p.Processes, p.Role, p.Hosts, p.Targets, p.Seconds, p.LoadAverage)
	for _, row := range []struct {
		name, unit string
		usage      MeanAndMax
	}{
		{"processor", "% of a core", p.CorePercent},
		{"resident", "MiB", p.ResidentMB},
		{"bytes in and out", "kB/s", p.KBPerSecond},
		{"of them net/rpc", "kB/s", p.RPCKBPerSecond},
	} {
		fmt.Fprintf(w, "  %-18s mean %8.3f max %8.3f %s\n", row.name, row.usage.Mean, row.usage.Max, row.unit)
	}
	fmt.Fprintf(w, "  %-18s reads %.2f /s, writes %.2f /s, waiting watches %d\n", "store, all hosts",
		p.Store.ReadsPerSecond, p.Store.WritesPerSecond, p.Store.WaitingWatches)
}
