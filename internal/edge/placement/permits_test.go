package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

// fakePermits holds the permits by incarnation; those of "raced" are granted to another run first.
type fakePermits map[string]int

func (f fakePermits) HasHubPermit(key string, _ bootclock.Instant) bool { return f[key] > 0 }

func (f fakePermits) TakeHubPermit(key string, _ bootclock.Instant) bool {
	f[key]--
	return key != "raced"
}

// The failure guarded against: a run is sent to a cold engine without a permit, or a permit is taken for an
// engine that is not chosen.
func TestChoiceTakesThePermitOfTheChosenEngine(t *testing.T) {
	for name, c := range map[string]struct {
		lacking   []string
		tried     map[string]bool
		want      string
		permitted bool
		left      fakePermits
	}{
		"permit":              {[]string{"cold"}, map[string]bool{"cold": true}, "cold", true, fakePermits{"cold": 0, "raced": 1}},
		"not tried":           {[]string{"cold"}, nil, "cold", true, fakePermits{"cold": 0, "raced": 1}},
		"no permit":           {[]string{"used-up"}, map[string]bool{"cold": true, "raced": true}, "warm", false, fakePermits{"cold": 1, "raced": 1}},
		"granted meanwhile":   {[]string{"raced"}, map[string]bool{"cold": true, "raced": true}, "used-up", false, fakePermits{"cold": 1, "raced": 0}},
		"engine of the share": {nil, nil, "cold", false, fakePermits{"cold": 1, "raced": 1}},
		"nothing left":        {[]string{"used-up"}, map[string]bool{"cold": true, "raced": true, "warm": true}, "", false, fakePermits{"cold": 1, "raced": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			permits := fakePermits{"cold": 1, "raced": 1}
			d, permitted := ChooseWithPermits(permits, c.lacking, c.tried, func(tried map[string]bool) Decision {
				for _, key := range []string{"cold", "raced", "used-up", "warm"} {
					if !tried[key] {
						return Decision{Target: key}
					}
				}
				return Decision{}
			})
			require.Equal(t, c.want, d.Target)
			require.Equal(t, c.permitted, permitted)
			require.Equal(t, c.left, permits)
		})
	}
}
