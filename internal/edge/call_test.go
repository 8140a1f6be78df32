package edge_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge"
)

func TestLogLinesNameBoundedSharedParts(t *testing.T) {
	require.Empty(t, (*edge.GenerationRequest)(nil).SharedPartNames())
	require.Empty(t, (&edge.GenerationRequest{Prefix: []edge.PrefixPart{{ID: "own"}}}).SharedPartNames())
	require.Equal(t, "a,b", (&edge.GenerationRequest{Prefix: []edge.PrefixPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}}).SharedPartNames())

	long := &edge.GenerationRequest{}
	for range 100 {
		long.Prefix = append(long.Prefix, edge.PrefixPart{ID: strings.Repeat("x", 1000)})
	}
	require.LessOrEqual(t, len(long.SharedPartNames()), 250)
}
