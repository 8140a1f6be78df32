package drill_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"corianderhitch/internal/drill"
	"corianderhitch/internal/drill/deployment"
)

// pressure times the deployment's load is above most limits that targets name.
const pressure = 2

// press raises the load of a deployment.
func press(d *deployment.Deployment) { multiplyLoad(d, pressure) }

func multiplyLoad(d *deployment.Deployment, factor float64) {
	for i := range d.Callers {
		d.Callers[i].PerSecond *= factor
	}
}

func TestTargetsGetNoMoreThanTheLimitsTheyName(t *testing.T) {
	run := play(t, press, drill.Options{Only: []string{"limit"}, For: 3 * *duration})
	limits := 0
	for i := range run.Targets {
		limits += len(run.Targets[i].Limits)
	}
	assert.Positive(t, limits, "no target named a limit")
}

func TestBrittleTargetsAreNotMadeToFallOver(t *testing.T) {
	run := play(t, press, drill.Options{Only: []string{"brittle"}, For: 4 * *duration})
	assert.NotEmpty(t, run.Brittle)
}

func TestPausesThatTargetsAskForAreHeeded(t *testing.T) {
	run := play(t, press, drill.Options{Only: []string{"pause"}, For: 2 * *duration})
	asked := 0
	for i := range run.Arrivals {
		if run.Arrivals[i].Pause > 0 {
			asked++
		}
	}
	assert.Positive(t, asked, "no target asked for a pause")
}
