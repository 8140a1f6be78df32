package memquota

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/internal/edge/bootclock"
)

const testSize = 1 << 20

// receiving opens a request of an account whose body is coming in since the given time. evicted is set when
// it is rejected for another one.
func receiving(t *testing.T, b *Budget, account string, bytes int64, since bootclock.Instant) (h *Hold, evicted *bool) {
	t.Helper()
	hold, verdict := b.Open(0, since)
	require.Equal(t, Granted, verdict)
	hold.SetAccount(account)
	evicted = new(bool)
	hold.BeginReceiving(since, func() { *evicted = true })
	require.Equal(t, Granted, hold.Admit(bytes, since))
	require.Equal(t, Granted, hold.Grow(bytes, since))
	return &hold, evicted
}

// Large requests used to take all the memory, so that ordinary callers got no answer.
func TestSmallRequestsKeepAPart(t *testing.T) {
	b := NewBudget(testSize)
	now := bootclock.Instant(time.Hour)
	for i := range 3 {
		h, _ := receiving(t, b, string(rune('a'+i)), testSize/4, now)
		require.False(t, h.EndReceiving(), "being served")
	}
	large, verdict := b.Open(SmallBytes+1, now)
	require.Equal(t, Short, verdict)
	large.Close()
	small, verdict := b.Open(SmallBytes, now)
	require.Equal(t, Granted, verdict)
	small.Close()
	require.EqualValues(t, testSize/4*3, b.Held())
}

func TestStalledBodyIsRejectedForANewRequest(t *testing.T) {
	b := NewBudget(testSize)
	start := bootclock.Instant(time.Hour)
	stalled, stalledEvicted := receiving(t, b, "a", testSize/3, start)
	fast, fastEvicted := receiving(t, b, "b", testSize/3, start.Add(time.Millisecond))
	now := start.Add(2 * time.Second)
	fast.Received(testSize/3, now)
	other, _ := receiving(t, b, "c", testSize/3, now)
	require.True(t, *stalledEvicted)
	require.False(t, *fastEvicted)
	require.True(t, stalled.EndReceiving())
	require.Equal(t, Short, stalled.Grow(1, now), "a rejected request gets nothing more")
	for _, h := range []*Hold{stalled, fast, other} {
		h.Close()
		h.Close()
	}
	require.Zero(t, b.Held())
	require.Empty(t, b.accounts)
	require.Empty(t, b.receiving)
}

func TestBodyThatDripsIsRejectedBeforeFastOnes(t *testing.T) {
	b := NewBudget(testSize)
	start := bootclock.Instant(time.Hour)
	fast, fastEvicted := receiving(t, b, "a", testSize/3, start)
	drips, dripsEvicted := receiving(t, b, "b", testSize/3, start)
	now := start.Add(2 * time.Second)
	fast.Received(testSize/3, now)
	drips.Received(100, now)
	receiving(t, b, "c", testSize/3, now)
	require.True(t, *dripsEvicted)
	require.False(t, *fastEvicted)
}

// Nothing is rejected for a new request while all bodies arrive as fast as they should.
func TestFastBodiesAreNotRejected(t *testing.T) {
	b := NewBudget(testSize)
	now := bootclock.Instant(time.Hour)
	_, first := receiving(t, b, "a", testSize/3, now)
	_, second := receiving(t, b, "b", testSize/3, now)
	h, _ := b.Open(0, now)
	require.Equal(t, Short, h.Admit(testSize/3, now))
	require.False(t, *first || *second)
}

// One account used to be able to take all memory.
func TestAccountHasItsPart(t *testing.T) {
	b := NewBudget(testSize)
	now := bootclock.Instant(time.Hour)
	receiving(t, b, "a", testSize/2, now)
	h, _ := b.Open(0, now)
	h.SetAccount("a")
	require.Equal(t, AccountShort, h.Admit(SmallBytes+1, now))
	other, _ := b.Open(0, now)
	other.SetAccount("b")
	require.Equal(t, Granted, other.Admit(SmallBytes+1, now))
	small, verdict := b.Open(SmallBytes/2, now)
	require.Equal(t, Granted, verdict)
	small.SetAccount("a")
}

func TestQuotaOfABudgetCounts(t *testing.T) {
	b := NewBudget(testSize)
	q := b.Part(100)
	giveBack, err := q.Take(t.Context(), 60)
	require.NoError(t, err)
	require.EqualValues(t, 60, b.Held())
	giveBack()
	require.Zero(t, b.Held())
	require.Nil(t, NewBudget(0))
	giveBack, err = NewBudget(0).Part(0).Take(t.Context(), 1<<40)
	require.NoError(t, err)
	giveBack()
}

// step makes one of the holds do something at random.
func step(t *rapid.T, h *Hold, now bootclock.Instant) {
	switch rapid.IntRange(1, 5).Draw(t, "step") {
	case 1:
		h.Grow(int64(rapid.IntRange(0, testSize/2).Draw(t, "bytes")), now)
	case 2:
		h.Received(rapid.IntRange(0, 1<<18).Draw(t, "received"), now)
	case 3:
		h.EndReceiving()
	case 4:
		h.Admit(int64(rapid.IntRange(0, testSize).Draw(t, "length")), now)
	default:
		h.Close()
	}
}

// sum returns what the holds hold.
func sum(holds []*Hold) (bytes int64) {
	for _, h := range holds {
		bytes += h.bytes
		if h.t != nil {
			bytes += h.t.bytes
		}
	}
	return bytes
}

// Whatever requests do, the count is what they hold and stays within the budget, and ends at zero.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(testSize)
		now := bootclock.Instant(time.Hour)
		var holds []*Hold
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			if len(holds) == 0 || rapid.IntRange(0, 5).Draw(t, "new") == 0 {
				h, _ := b.Open(int64(rapid.IntRange(0, testSize/8).Draw(t, "cost")), now)
				h.SetAccount(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"))
				h.BeginReceiving(now, func() {})
				holds = append(holds, &h)
			} else {
				step(t, holds[rapid.IntRange(0, len(holds)-1).Draw(t, "hold")], now)
			}
			if held := sum(holds); held != b.Held() || held > b.size {
				t.Fatalf("%d bytes counted, %d held, of %d", b.Held(), held, b.size)
			}
		}
		for _, h := range holds {
			h.Close()
		}
		if b.Held() != 0 || len(b.accounts) != 0 || len(b.receiving) != 0 {
			t.Fatalf("left: %d bytes, %v, %d", b.Held(), b.accounts, len(b.receiving))
		}
	})
}

func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	b := NewBudget(testSize)
	var users sync.WaitGroup
	for i := range 16 {
		users.Go(func() {
			for n := range 200 {
				now := bootclock.Now()
				h, _ := b.Open(int64(1000*n), now)
				h.SetAccount(string(rune('a' + i%3)))
				h.BeginReceiving(now.Add(-time.Hour), func() {})
				h.Grow(int64(n)*500, now)
				h.Received(n, now)
				h.EndReceiving()
				h.Close()
			}
		})
	}
	users.Wait()
	require.Zero(t, b.Held())
	require.Empty(t, b.accounts)
}

// An ordinary request must cost next to nothing: hosts are charged by the microsecond.
func BenchmarkOrdinaryRequest(b *testing.B) {
	budget := NewBudget(33 << 20)
	now := bootclock.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h, _ := budget.Open(15_000, now)
			h.SetAccount("a")
			h.BeginReceiving(now, nil)
			h.EndReceiving()
			h.Close()
		}
	})
}
