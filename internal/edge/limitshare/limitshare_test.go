package limitshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/bootclock"
)

func TestSharesOfAllHostsAddUpToOne(t *testing.T) {
	var hosts []string
	for i := range 40 {
		hosts = append(hosts, fmt.Sprintf("host-%d", i))
	}
	for _, holders := range []int{1, 7, 40, 100} {
		sum, using := 0.0, 0
		for _, host := range hosts {
			l := New(host, func() []string { return hosts })
			require.Zero(t, l.Of("target", holders), "the number of hosts is not known yet")
			l.ObserveSize(bootclock.Now(), len(hosts))
			if share := l.Of("target", holders); share > 0 {
				sum += share
				using++
			}
		}
		require.InDelta(t, 1, sum, 1e-9)
		require.Equal(t, min(holders, len(hosts)), using)
	}
}

// After an outage of the store, the list may lack live hosts.
func TestSharesDoNotGrowWithAnIncompleteList(t *testing.T) {
	hosts := []string{"a", "b", "c", "d"}
	l, now := New("a", func() []string { return hosts }), bootclock.Now()
	l.ObserveSize(now.Add(-2*time.Second), len(hosts))
	hosts = hosts[:1]
	l.ObserveSize(now, len(hosts))
	require.InDelta(t, 0.25, l.Of("target", 10), 1e-9)
	l.ObserveSize(now, 0)
	require.InDelta(t, 0.25, l.Of("target", 10), 1e-9)
}
