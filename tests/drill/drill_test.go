// Package drill_test runs whole drills, with hosts as real processes.
package drill_test

import (
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill"
	"corianderhitch/internal/drill/deployment"
	"corianderhitch/internal/drill/judge"
	"corianderhitch/internal/drill/record"
	"corianderhitch/platform/standin/fleet"
)

var (
	seed     = flag.Uint64("seed", 1, "seed of the disturbances")
	duration = flag.Duration("for", 8*time.Second, "how long disturbances are played")
)

// smallDeployment is the drill that CI runs.
const smallDeployment = "../../deploy/drill/small.toml"

// play runs a drill of the small deployment after change, and fails the test for each rule
// that was broken.
func play(t *testing.T, change func(*deployment.Deployment), o drill.Options) *record.Run {
	t.Helper()
	d, err := deployment.Read(smallDeployment)
	require.NoError(t, err)
	if change != nil {
		change(d)
	}
	o.Out = t.TempDir()
	if o.EdgePath == "" {
		o.EdgePath = buildEdge(t)
	}
	if o.For == 0 {
		o.For = *duration
	}
	if o.Seed == 0 {
		o.Seed = *seed
	}
	result, err := drill.Run(t.Context(), fleet.Platform{}, d, o)
	require.NoError(t, err)
	assert.Zero(t, result.UnexpectedExits)
	for _, v := range judge.Judge(result.Run) {
		t.Errorf("%s at %s: %s", v.Rule, v.At.Format(time.TimeOnly), v.Text)
	}
	return result.Run
}

func buildEdge(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "edge")
	out, err := exec.Command("go", "build", "-o", path, "corianderhitch/cmd/edge").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

// A drill that starts no deployment, or whose hosts serve nobody, would find nothing.
func TestWholeDrillServesAllKindsOfRequests(t *testing.T) {
	run := play(t, nil, drill.Options{Planned: true})
	served := make(map[string]int)
	for i := range run.Requests {
		if q := &run.Requests[i]; q.Status/100 == 2 && q.Complete {
			served[q.Route]++
		}
	}
	for route := range run.Deployment.Routes {
		assert.Positive(t, served[route], "no request of route %s was served", route)
	}
}

func TestDrillEndsAtOnceWithTheErrorOfAnInvalidConfiguration(t *testing.T) {
	d, err := deployment.Read(smallDeployment)
	require.NoError(t, err)
	d.Kinds[0].Kind = "nightly"
	began := time.Now()
	_, err = drill.Run(t.Context(), fleet.Platform{}, d, drill.Options{Seed: 1, For: time.Second, Out: t.TempDir(), EdgePath: "not needed"})
	require.ErrorContains(t, err, d.Kinds[0].Name)
	assert.Less(t, time.Since(began), 5*time.Second)
}
