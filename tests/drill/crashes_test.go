package drill_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"corianderhitch/internal/drill"
	"corianderhitch/internal/drill/deployment"
	"corianderhitch/internal/drill/record"
)

// BUDGET: a request that ended all targets of a service was sent on each time that they were back.
func TestRequestThatEndsAllTargetsIsHeldBack(t *testing.T) {
	run := play(t, func(d *deployment.Deployment) { d.Service("desk").Targets["east"] = 2 }, drill.Options{Only: []string{"crashing request"}, For: 4 * *duration})
	crashed := 0
	for i := range run.Arrivals {
		if run.Arrivals[i].Outcome == record.Crashed {
			crashed++
		}
	}
	assert.Positive(t, crashed, "no request crashed a target")
}
