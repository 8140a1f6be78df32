package drill_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"corianderhitch/internal/drill"
	"corianderhitch/internal/drill/deployment"
)

// EVAC: requests reached targets of evacuated failure domains later than the bound, while hosts are restarted
// and the store is slow or away.
func TestEvacuatedDomainsGetNoRequests(t *testing.T) {
	run := play(t, func(d *deployment.Deployment) { d.Bounds.Evacuate = 5 * time.Second },
		drill.Options{Only: []string{"evacuation", "rolling restart", "store"}, For: 4 * *duration})
	lasting := 0
	for _, e := range run.Evacuated {
		if e.To.Sub(e.From) > run.Deployment.Bounds.Evacuate {
			lasting++
		}
	}
	assert.Positive(t, lasting, "no evacuation lasted longer than its bound")
}
