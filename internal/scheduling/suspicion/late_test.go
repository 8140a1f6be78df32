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
		draft := Fingerprint(1, late)
		tracker := NewTracker()
		tracker.RecordCrash(Crash{ID: "a", At: start, Suspects: []uint64{2, draft}, Progressed: []uint64{2}})
		tracker.RecordCrash(Crash{ID: "b", At: start, Suspects: []uint64{3, draft}, Progressed: []uint64{3}})
		want := Reject
		if late {
			want = Isolate
		}
		require.Equal(t, want, tracker.Verdict(draft, start), "late %v", late)
		tracker.RecordCrash(Crash{ID: "c", At: start, Suspects: []uint64{draft}})
		require.Equal(t, Reject, tracker.Verdict(draft, start), "late %v: died alone", late)
	}
}

func TestMarkKeepsFingerprintsApart(t *testing.T) {
	const hash = uint64(0xf46c3f07b1d8b299)
	require.True(t, IsLateDelivery(Fingerprint(hash, true)))
	require.False(t, IsLateDelivery(Fingerprint(hash, false)))
	require.NotEqual(t, Fingerprint(hash, true), Fingerprint(hash, false))
	require.Equal(t, Fingerprint(hash, true), Fingerprint(Fingerprint(hash, false), true))
}
