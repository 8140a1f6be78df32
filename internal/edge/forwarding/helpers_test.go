package forwarding

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/targetconn"
)

func TestProvenHelpersAreAskedFirst(t *testing.T) {
	h := NewHelpers()
	all := []string{"a", "b", "c", "d", "e", "f"}
	chosen, proven := h.Choose(all, at(1))
	require.Len(t, chosen, maxHelpers)
	require.Zero(t, proven)
	h.Observe("c", targetconn.ForwardAnswered, at(1))
	h.Observe("d", targetconn.ForwardCutOff, at(1))
	h.Observe("e", targetconn.ForwardUnreachable, at(1))
	h.Observe("f", targetconn.ForwardStopping, at(1))
	for range 20 {
		chosen, proven := h.Choose(all, at(2))
		require.Equal(t, 1, proven)
		require.Equal(t, "c", chosen[0])
		require.ElementsMatch(t, []string{"a", "b", "c"}, chosen)
	}
	chosen, _ = h.Choose([]string{"f"}, at(2.9))
	require.Empty(t, chosen)
	chosen, _ = h.Choose([]string{"f"}, at(3.1))
	require.Equal(t, []string{"f"}, chosen, "its next process may help")
	chosen, proven = h.Choose(nil, at(4))
	require.Empty(t, chosen)
	require.Zero(t, proven)
	h.Observe("c", targetconn.ForwardUnreachable, at(4))
	_, proven = h.Choose(all, at(4))
	require.Zero(t, proven, "the proven one has ended")
}

// Two thirds of 300 hosts are cut off: almost every request finds a helper at its first try.
func TestHelpersAmongManyHostsThatAreCutOff(t *testing.T) {
	h := NewHelpers()
	var all []string
	for i := range 300 {
		all = append(all, fmt.Sprint(i))
	}
	helps := func(address string) bool { var n int; _, _ = fmt.Sscan(address, &n); return n%3 == 0 }
	asked, failed := 0, 0
	used := make(map[string]int)
	for i := range 2000 {
		now, found := at(1+float64(i)/100), false
		chosen, _ := h.Choose(all, now)
		for _, address := range chosen {
			asked++
			if found = helps(address); found {
				used[address]++
				h.Observe(address, targetconn.ForwardAnswered, now)
				break
			}
			h.Observe(address, targetconn.ForwardCutOff, now)
		}
		if !found {
			failed++
		}
	}
	require.LessOrEqual(t, failed, 2)
	require.Less(t, asked, 2100)
}
