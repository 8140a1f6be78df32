package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An operator takes a service out of a route by weight 0. Once all had weight 0, the last got every
// request.
func TestServiceWithoutWeightGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		weights [3]int
		want    []string // by draw
	}{
		{[3]int{90, 10, 0}, []string{"a", "a", "b"}},
		{[3]int{0, 0, 1}, []string{"c", "c", "c"}},
		{[3]int{1, 0, 0}, []string{"a", "a", "a"}},
		{[3]int{0, 0, 0}, []string{"", "", ""}},
	} {
		r := Route{Backends: []Backend{{"a", c.weights[0]}, {"b", c.weights[1]}, {"c", c.weights[2]}}}
		for i, draw := range []float64{0, 0.5, 0.999_999_999_999} {
			require.Equal(t, c.want[i], r.PickService(draw), "weights %v, draw %v", c.weights, draw)
		}
	}
	require.Empty(t, (&Route{}).PickService(0.5))
}
