package suspicion

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two engines die under a late draft, and only the news of others, which name it
// as beside them, has come. It gets a target of its own before it is refused; any
// other request is refused at once.
func TestALateDraftIsNotRefusedOnTheWordOfOthers(t *testing.T) {
	for _, late := range []bool{true, false} {
		draft := Mark(1, late)
		tracker := NewTracker()
		tracker.Record(Crash{ID: "a", At: start, Beside: []uint64{2, draft}, Progressed: []uint64{2}})
		tracker.Record(Crash{ID: "b", At: start, Beside: []uint64{3, draft}, Progressed: []uint64{3}})
		want := Refuse
		if late {
			want = Isolate
		}
		require.Equal(t, want, tracker.Verdict(draft, start), "late %v", late)
		tracker.Record(Crash{ID: "c", At: start, Beside: []uint64{draft}})
		require.Equal(t, Refuse, tracker.Verdict(draft, start), "late %v: died alone", late)
	}
}

func TestMarkKeepsFingerprintsApart(t *testing.T) {
	const hash = uint64(0xf46c3f07b1d8b299)
	require.True(t, IsLate(Mark(hash, true)))
	require.False(t, IsLate(Mark(hash, false)))
	require.NotEqual(t, Mark(hash, true), Mark(hash, false))
	require.Equal(t, Mark(hash, true), Mark(Mark(hash, false), true))
}
