package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// serve serves the next n items and returns the served tokens by account.
func serve(q *Queue, now time.Time, n int) map[string]float64 {
	got := make(map[string]float64)
	for range n {
		item, ok := q.Next(now)
		if !ok {
			break
		}
		q.Serve(item.ID, now)
		got[item.Account] += item.Tokens
	}
	return got
}

func TestSharesFollowWeights(t *testing.T) {
	q := New(0)
	for i := range 1000 {
		q.Push(Item{ID: fmt.Sprint("a", i), Account: "a", Weight: 3, Tokens: 100, Submitted: start})
		q.Push(Item{ID: fmt.Sprint("b", i), Account: "b", Weight: 1, Tokens: 50, Submitted: start})
	}
	got := serve(q, start, 800)
	assert.InDelta(t, 3, got["a"]/got["b"], 0.05)
}

func TestHigherPriorityIsServedFirst(t *testing.T) {
	q := New(0)
	q.Push(Item{ID: "draft", Account: "a", Priority: 2, Tokens: 1000, Submitted: start})
	q.Push(Item{ID: "lookup", Account: "a", Priority: 8, Tokens: 40, Submitted: start.Add(time.Second)})
	item, _ := q.Next(start.Add(time.Second))
	assert.Equal(t, "lookup", item.ID)
}

func TestAgedRequestsStayWithinTheirShare(t *testing.T) {
	q := New(10 * time.Second)
	for i := range 500 {
		q.Push(Item{ID: fmt.Sprint("draft", i), Account: "drafts", Priority: 2, Tokens: 100, Submitted: start})
		q.Push(Item{ID: fmt.Sprint("lookup", i), Account: "lookups", Priority: 8, Tokens: 100, Submitted: start})
	}
	assert.Zero(t, serve(q, start, 100)["drafts"], "requests of low priority that have not aged wait")
	got := serve(q, start.Add(11*time.Second), 300)
	share := got["drafts"] / (got["drafts"] + got["lookups"])
	assert.InDelta(t, agedShare, share, 0.06)
}

func TestAdjustChargeLowersTheRateOfAnAccount(t *testing.T) {
	q := New(0)
	for i := range 200 {
		q.Push(Item{ID: fmt.Sprint("a", i), Account: "a", Tokens: 10, Submitted: start})
		q.Push(Item{ID: fmt.Sprint("b", i), Account: "b", Tokens: 10, Submitted: start})
	}
	counts := make(map[string]int)
	for range 100 {
		item, _ := q.Next(start)
		q.Serve(item.ID, start)
		counts[item.Account]++
		if item.Account == "a" {
			q.AdjustCharge("a", 1, 30) // produced 40 instead of 10
		}
	}
	assert.InDelta(t, 4, float64(counts["b"])/float64(counts["a"]), 0.4)
}

func TestSkipAndResetSkips(t *testing.T) {
	q := New(0)
	q.Push(Item{ID: "1", Account: "a", Submitted: start})
	q.Push(Item{ID: "2", Account: "a", Submitted: start})
	q.Push(Item{ID: "3", Account: "b", Submitted: start})
	q.Skip("1")
	item, _ := q.Next(start)
	assert.Equal(t, "2", item.ID)
	q.SkipAccount("a")
	item, _ = q.Next(start)
	assert.Equal(t, "3", item.ID)
	q.SkipAccount("b")
	_, ok := q.Next(start)
	assert.False(t, ok)
	q.ResetSkips()
	item, _ = q.Next(start)
	assert.Equal(t, "1", item.ID)
}

// Runs random operations and compares the queue with a set of waiting IDs.
func TestEachItemIsServedOnceOrRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(time.Second)
		waiting := make(map[string]bool)
		now, next := start, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				id := fmt.Sprint(next)
				waiting[id] = true
				q.Push(Item{
					ID: id, Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Priority: rapid.IntRange(-1, 11).Draw(t, "priority"),
					Tokens:   rapid.Float64Range(0, 500).Draw(t, "tokens"), Submitted: now,
				})
			},
			"serve": func(t *rapid.T) {
				now = now.Add(300 * time.Millisecond)
				item, ok := q.Next(now)
				assert.Equal(t, len(waiting) > 0, ok)
				if ok {
					assert.True(t, waiting[item.ID])
					delete(waiting, item.ID)
					q.Serve(item.ID, now)
				}
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, next+1).Draw(t, "id"))
				assert.Equal(t, waiting[id], q.Remove(id))
				delete(waiting, id)
			},
			"aside": func(t *rapid.T) {
				if item, ok := q.Next(now); ok {
					q.Skip(item.ID)
					q.SkipAccount(item.Account)
				}
				q.ResetSkips()
			},
			"": func(t *rapid.T) { assert.Equal(t, len(waiting), q.Len()) },
		})
	})
}

func TestIdleAccountsAreEvicted(t *testing.T) {
	q := New(0)
	for i := range 10 * minEvictAccounts {
		q.Push(Item{ID: fmt.Sprint(i), Account: fmt.Sprint(i), Tokens: 10, Submitted: start})
		serve(q, start, 1)
	}
	assert.LessOrEqual(t, len(q.accounts), 2*minEvictAccounts)
}

func BenchmarkPushNextServe(b *testing.B) {
	for _, accounts := range []int{10, 1000, 27000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := New(0)
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
				q.Push(Item{ID: names[i], Account: names[i], Tokens: 100, Submitted: start})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				q.Push(Item{ID: fmt.Sprint(i), Account: names[i%accounts], Tokens: float64(i % 300), Submitted: start})
				item, _ := q.Next(start)
				q.Serve(item.ID, start)
			}
		})
	}
}
