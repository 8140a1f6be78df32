package suspicion

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against losing a late delivery to two crashes that other requests caused:
// two engines crash while they run it, and the only reports are of other requests,
// which list it as a co-resident. It must be isolated before it is rejected; any
// other request is rejected after these two crashes.
func TestLateDeliveryIsIsolatedBeforeRejection(t *testing.T) {
	for _, lateDelivery := range []bool{true, false} {
		fingerprint := Fingerprint(1, lateDelivery)
		tracker := NewTracker()
		tracker.RecordCrash(Crash{ID: "a", At: start, Suspects: []uint64{2, fingerprint}, Progressed: []uint64{2}})
		tracker.RecordCrash(Crash{ID: "b", At: start, Suspects: []uint64{3, fingerprint}, Progressed: []uint64{3}})
		want := Reject
		if lateDelivery {
			want = Isolate
		}
		require.Equal(t, want, tracker.Verdict(fingerprint, start), "late delivery: %v", lateDelivery)
		tracker.RecordCrash(Crash{ID: "c", At: start, Suspects: []uint64{fingerprint}})
		require.Equal(t, Reject, tracker.Verdict(fingerprint, start), "late delivery: %v, crashed a target of its own", lateDelivery)
	}
}

func TestFingerprintSeparatesLateDeliveries(t *testing.T) {
	const hash = uint64(0xf46c3f07b1d8b299)
	require.True(t, IsLateDelivery(Fingerprint(hash, true)))
	require.False(t, IsLateDelivery(Fingerprint(hash, false)))
	require.NotEqual(t, Fingerprint(hash, true), Fingerprint(hash, false))
	require.Equal(t, Fingerprint(hash, true), Fingerprint(Fingerprint(hash, false), true))
}
