package prefix

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// chain returns n hashes that begin like the chain of another name in shared of them.
func chain(name uint64, n int, beginning ...uint64) []uint64 {
	hashes := append([]uint64(nil), beginning...)
	for i := len(beginning); i < n; i++ {
		hashes = append(hashes, name<<32|uint64(i))
	}
	return hashes
}

func TestBranchesAreTheEndsOfSharedParts(t *testing.T) {
	var b Branches
	first := chain(1, 3)
	for i := range uint64(20) {
		b.Observe(chain(100+i, 9, first...))
	}
	annex := chain(2, 7, first...)
	one, two := chain(201, 40, annex...), chain(202, 40, annex...)
	b.Observe(one)
	require.Equal(t, []uint64{one[0], one[1], one[2], one[3], one[7], one[15], one[31]}, b.Choose(one, 16),
		"the first prompt with the annex: its first block and fixed positions")
	b.Observe(two)
	require.Equal(t, []uint64{two[0], two[1], two[2], two[3], two[6], two[7], two[15], two[31]}, b.Choose(two, 16),
		"from the second one on also its last block")
	require.Len(t, b.Choose(two, 3), 3)
	require.Empty(t, b.Choose(nil, 16))
}

func TestChosenPrefixesOfUncountedPromptsOverlap(t *testing.T) {
	var b Branches
	annex := chain(1, 6)
	one, two := chain(2, 12, annex...), chain(3, 30, annex...)
	require.Subset(t, b.Choose(two, 16), b.Choose(one, 16)[:3])
}

func TestCountsAreBounded(t *testing.T) {
	var b Branches
	for i := range uint64(200) {
		b.Observe(chain(i, 5000))
		require.LessOrEqual(t, len(b.recent), maxCountedPrefixes+maxCountedBlocks)
		require.LessOrEqual(t, len(b.earlier), maxCountedPrefixes+maxCountedBlocks)
	}
	require.LessOrEqual(t, len(b.Choose(chain(1, 5000), 16)), 16)
}
