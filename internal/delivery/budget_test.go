package delivery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// grantedAt returns how many requests of the account are granted at once.
func grantedAt(b *budget, account string, hosts int, now time.Time) (granted int) {
	for {
		if delay, ok := b.tryReserve(account, 1, 0, hosts, now); !ok || delay > 0 {
			return granted
		}
		granted++
	}
}

func TestChangeOfHostsRefillsNoBudget(t *testing.T) {
	b, now := newBudget(300), time.Now()
	granted := 0
	for i := range 10 {
		granted += grantedAt(b, "a", 4+i%2, now)
	}
	require.LessOrEqual(t, granted, 13, "granted in one moment")
	granted = grantedAt(b, "b", 4, now.Add(time.Second))
	require.Equal(t, 12, granted, "half of this host's share, a second later")
}

func TestHostThatKnowsNoOtherDoesNotBurst(t *testing.T) {
	b, now := newBudget(300), time.Now()
	require.Zero(t, grantedAt(b, "a", 0, now), "the list of hosts was not read yet")
	require.Equal(t, 1, grantedAt(b, "a", 1, now))
	require.Equal(t, 12, grantedAt(b, "a", 4, now.Add(10*time.Second)), "half of a quarter")
	require.Equal(t, 12, grantedAt(b, "a", 0, now.Add(20*time.Second)), "the only host while it leaves: no burst by the change")
	require.Equal(t, 50, grantedAt(b, "a", 0, now.Add(21*time.Second)))
}
