package drill

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// disturbance is a series of events that a run plays beside the others.
type disturbance struct {
	name        string
	planned     bool
	first, last time.Duration // bounds of the pauses between its events
	play        func(ctx context.Context, f *fleet, r *rand.Rand) error
}

// disturbances returns the series of all runs. Each draws from a source of its own, so that
// leaving one out doesn't change the others.
func disturbances() []disturbance {
	return []disturbance{
		{"reclaim", true, 3300 * time.Millisecond, 3300 * time.Millisecond, reclaim},
		{"rolling restart", true, time.Second, 8 * time.Second, rollingRestart},
		{"reload", true, 2 * time.Second, 7 * time.Second, reload},
		{"configuration", true, 2 * time.Second, 6 * time.Second, configure},
		{"configuration storm", true, 8 * time.Second, 16 * time.Second, configurationStorm},
		{"key rotation", true, 3 * time.Second, 8 * time.Second, rotateKeys},
		{"release", true, 6 * time.Second, 14 * time.Second, release},
		{"target crash", false, 4 * time.Second, 12 * time.Second, crashTargets},
		{"host kill", false, 8 * time.Second, 20 * time.Second, killHost},
		{"store", false, 10 * time.Second, 25 * time.Second, disturbStore},
		{"ailing targets", false, 3 * time.Second, 9 * time.Second, ailTargets},
		{"freeze", false, 6 * time.Second, 18 * time.Second, freezeHost},
		{"crashing prompt", false, 12 * time.Second, 30 * time.Second, crashByPrompt},
		{"callers", false, 5 * time.Second, 12 * time.Second, disturbCallers},
		{"early stop", true, 5 * time.Second, 15 * time.Second, stopEarly},
		{"retire", true, 4 * time.Second, 12 * time.Second, retire},
		{"notice", false, 4 * time.Second, 10 * time.Second, leaveByAnswers},
		{"pause", false, 2 * time.Second, 6 * time.Second, pauseTargets},
		{"limit", false, 4 * time.Second, 9 * time.Second, limitTargets},
		{"cut", false, 6 * time.Second, 12 * time.Second, cutHosts},
		{"brittle", false, 8 * time.Second, 16 * time.Second, makeBrittle},
		{"crashing request", false, 2 * time.Second, 5 * time.Second, crashByRequest},
		{"evacuation", false, 2 * time.Second, 6 * time.Second, evacuate},
		{"ailing calls", false, 2 * time.Second, 6 * time.Second, ailCalls},
	}
}

// playAll plays the series until the context ends.
func (f *fleet) playAll(ctx context.Context) {
	for n, d := range disturbances() {
		if f.options.Planned && !d.planned || len(f.options.Only) > 0 && !slices.Contains(f.options.Only, d.name) {
			continue
		}
		r := rand.New(rand.NewPCG(f.options.Seed, uint64(100+n)))
		f.playing.Go(func() {
			for sleep(ctx, between(r, d.first, d.last)) == nil {
				if err := d.play(ctx, f, r); err != nil && ctx.Err() == nil {
					f.logger.Error("drill: disturbance failed", "disturbance", d.name, "error", err)
				}
			}
		})
	}
}

// names returns the names of all disturbances.
func names() []string {
	var out []string
	for _, d := range disturbances() {
		out = append(out, d.name)
	}
	return out
}
