package load

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"corianderhitch/internal/settings"
)

// OverheadSettings are the flags of "hitchload overhead".
type OverheadSettings struct {
	MixSettings
	CallerSettings
	Gateways []string `flag:"gateways" usage:"base URLs of the gateways" validate:"min=1,dive,url"`
	Engines  []string `flag:"engines" usage:"base URLs of the engines behind them" validate:"min=1,dive,url"`
	Version  string   `flag:"version-name" default:"v1" usage:"model version that the account is served with" validate:"required"`
	Rounds   int      `flag:"rounds" default:"3" usage:"number of alternating rounds" validate:"min=1"`
}

// OverheadCommand returns the command "hitchload overhead".
func OverheadCommand() *cobra.Command {
	var s OverheadSettings
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Measure what a gateway adds, in rounds that alternate with calls straight to the engines",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Load(cmd.Flags(), &s); err != nil {
				return err
			}
			s.LookupShare, s.HoldShare = 0, 0
			results := measureOverhead(cmd, s)
			printComparison(cmd.OutOrStdout(), results[1], results[0])
			printAddedLatency(cmd, results[0], results[1])
			return printAndSave(cmd.OutOrStdout(), s.Out, results)
		},
	}
	settings.Register(cmd.Flags(), &s)
	return cmd
}

// measureOverhead sends each round's plan directly to the engines, then through the
// gateways. It returns the two results in this order.
func measureOverhead(cmd *cobra.Command, s OverheadSettings) []Result {
	direct := &EngineCaller{Engines: s.Engines, Model: s.Model, Version: s.Version, Client: newHTTPClient()}
	viaGateway := &GatewayCaller{Gateways: s.Gateways, Keys: s.Keys, Model: s.Model, Service: s.Service, Client: newHTTPClient()}
	callers := []Caller{direct, viaGateway}
	recorders := []*Recorder{NewRecorder(), NewRecorder()}
	elapsed := make([]time.Duration, len(callers))
	for round := range s.Rounds {
		mix := s.MixSettings
		mix.Seed += round
		plan := NewPlan(mix.Mix(len(s.Keys)))
		for i, caller := range callers {
			elapsed[i] += SendPlan(cmd.Context(), plan, caller, recorders[i])
		}
	}
	return []Result{
		recorders[0].Result("direct", uint64(s.Seed), elapsed[0]),
		recorders[1].Result("through gateway", uint64(s.Seed), elapsed[1]),
	}
}

func printAddedLatency(cmd *cobra.Command, direct, viaGateway Result) {
	w := cmd.OutOrStdout()
	fmt.Fprintf(w, "added at p99: first token %.3f ms, inter token %.3f ms; throughput %.2f%% of direct\n",
		ValueAt(viaGateway.FirstToken, 99)-ValueAt(direct.FirstToken, 99),
		ValueAt(viaGateway.InterToken, 99)-ValueAt(direct.InterToken, 99),
		100*viaGateway.TokensPerSecond/direct.TokensPerSecond)
}
