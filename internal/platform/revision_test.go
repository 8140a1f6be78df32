package platform

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A restored store gives out numbers again: comparing numbers alone takes an old state for
// a newer one.
func TestRevisionsOfALaterEraAreLarger(t *testing.T) {
	require.Less(t, NewRevision(1, 900), NewRevision(2, 5))
	require.Less(t, NewRevision(2, 5), NewRevision(2, 6))
	require.NotEqual(t, NewRevision(1, 5), NewRevision(2, 5))
	require.Equal(t, Revision(7), NewRevision(0, 7), "without eras a revision is its number")
}

func TestRevisionParts(t *testing.T) {
	r := NewRevision(3, 41)
	require.Equal(t, int64(3), r.Era())
	require.Equal(t, int64(41), r.Number())
	require.Equal(t, "3.41", r.String())
	require.Equal(t, "41", Revision(41).String())
	require.Equal(t, NewRevision(4, 41), r.InEra(4))
	for _, condition := range []Revision{AnyRevision, Absent} {
		require.Zero(t, condition.Era())
		require.Equal(t, int64(condition), condition.Number())
	}
}
