package targets

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func entry(n int) Change {
	return Change{Name: fmt.Sprint(n), Target: &Target{ID: fmt.Sprint(n), Service: "s", Address: "127.0.0.1:1"}}
}

// Answers a fleet that starts: 3,000 targets register within seconds and come in
// a few batches. The cost of a batch grows with its size and the list, not with
// their product.
func TestABatchOfChangesBuildsTheViewOnce(t *testing.T) {
	const targets, perTarget = 3000, 20 // allocations
	var batch []Change
	for n := range targets {
		batch = append(batch, entry(n))
	}
	allocations := testing.AllocsPerRun(1, func() {
		r := New(func(Target, LeavingNotice) {})
		r.Apply(batch, 1)
		require.Equal(t, targets, r.View().Len())
	})
	require.Less(t, allocations, float64(targets*perTarget))
}

func TestChangesOfABatchCountInOrder(t *testing.T) {
	var left []string
	r := New(func(t Target, _ LeavingNotice) { left = append(left, t.ID) })
	r.Apply([]Change{entry(1), entry(2), entry(3)}, 1)
	leaving := entry(2)
	leaving.Target.Leaving = true
	r.Apply([]Change{{Name: "1"}, leaving, {Name: "3", Unreadable: true}, entry(4), {Name: "4"}}, 2)
	require.Equal(t, []string{"1", "2", "4"}, left, "an entry that cannot be read says nothing of its target")
	require.Empty(t, r.View().Available("s"))
	require.NotNil(t, r.View().Get(entry(1).Target.Key()), "it may still serve what it has")
	r.Apply([]Change{entry(1)}, 3)
	require.Len(t, r.View().Available("s"), 1, "its entry had lapsed")
}
