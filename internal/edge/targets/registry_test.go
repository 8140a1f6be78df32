package targets

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/targetnotice"
)

func readyEntry(n int) Change {
	return Change{Name: fmt.Sprint(n), Target: &Target{ID: fmt.Sprint(n), Service: "s", Address: "127.0.0.1:1"}}
}

// A starting fleet registers 3,000 targets within seconds, in a few batches. The cost
// of applying a batch must be linear in the size of the batch and the list, not in
// their product.
func TestApplyBuildsViewOncePerBatch(t *testing.T) {
	const targets, perTarget = 3000, 20 // allocations
	var batch []Change
	for n := range targets {
		batch = append(batch, readyEntry(n))
	}
	allocations := testing.AllocsPerRun(1, func() {
		r := New(targetnotice.New(), func(Target, LeavingNotice) {})
		r.Apply(batch, 1)
		require.Equal(t, targets, r.View().Len())
	})
	require.Less(t, allocations, float64(targets*perTarget))
}

func TestApplyKeepsOrderWithinBatch(t *testing.T) {
	var leavingIDs []string
	r := New(targetnotice.New(), func(t Target, _ LeavingNotice) { leavingIDs = append(leavingIDs, t.ID) })
	r.Apply([]Change{readyEntry(1), readyEntry(2), readyEntry(3)}, 1)
	leaving := readyEntry(2)
	leaving.Target.Leaving = true
	r.Apply([]Change{{Name: "1"}, leaving, {Name: "3", Unreadable: true}, readyEntry(4), {Name: "4"}}, 2)
	require.Equal(t, []string{"1", "2", "4"}, leavingIDs, "an unreadable entry must not mark its target as leaving")
	require.Empty(t, r.View().Available("s"))
	require.NotNil(t, r.View().Get(readyEntry(1).Target.Key()), "a leaving target may still serve running requests")
	r.Apply([]Change{readyEntry(1)}, 3)
	require.Len(t, r.View().Available("s"), 1, "the notice of a reappeared entry must be withdrawn")
}
