package drill_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"corianderhitch/internal/drill"
	"corianderhitch/internal/drill/deployment"
)

// manyCallers times the deployment's load is enough for more failures than the rule allows if one of
// its hosts is cut off.
const manyCallers = 5

func TestCallersOfHostsCutFromTheTargetsAreServed(t *testing.T) {
	run := play(t, func(d *deployment.Deployment) { multiplyLoad(d, manyCallers) }, drill.Options{Only: []string{"cut"}, For: 3 * *duration})
	assert.NotEmpty(t, run.Cuts)
}
