package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"corianderhitch/internal/document"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRate(t *testing.T) {
	a := New(map[string]document.Limits{"x": {RequestsPerSecond: 2}})
	for range 2 {
		reason, _ := a.Admit(start, "x", 0)
		assert.Equal(t, None, reason)
	}
	reason, wait := a.Admit(start, "x", 0)
	assert.Equal(t, RequestRate, reason)
	assert.InDelta(t, 0.5, wait.Seconds(), 0.01)
	reason, _ = a.Admit(start.Add(wait), "x", 0)
	assert.Equal(t, None, reason, "after the returned wait")
	reason, _ = a.Admit(start, "other", 1000)
	assert.Equal(t, None, reason, "an account without limits")
}

func TestQueueAndConcurrency(t *testing.T) {
	a := New(map[string]document.Limits{"x": {Queued: 3, Concurrent: 1}})
	reason, _ := a.Admit(start, "x", 3)
	assert.Equal(t, Queue, reason)
	assert.True(t, a.MayRun("x"))
	a.Started("x")
	assert.False(t, a.MayRun("x"))
	a.Configure(map[string]document.Limits{"x": {Concurrent: 2}})
	assert.True(t, a.MayRun("x"), "new limits; the running request still counts")
	a.Started("x")
	assert.False(t, a.MayRun("x"))
	a.Ended(start, "x", 10)
	assert.True(t, a.MayRun("x"))
}

func TestTokensPerMinute(t *testing.T) {
	a := New(map[string]document.Limits{"x": {TokensPerMinute: 600}})
	reason, _ := a.Admit(start, "x", 0)
	assert.Equal(t, None, reason)
	a.Ended(start, "x", 600)
	reason, wait := a.Admit(start, "x", 0)
	assert.Equal(t, TokenRate, reason)
	assert.Positive(t, wait)
	reason, _ = a.Admit(start.Add(wait+time.Second), "x", 0)
	assert.Equal(t, None, reason)
}

func BenchmarkSubmit(b *testing.B) {
	for _, accounts := range []int{10, 1000, 27000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			names := make([]string, accounts)
			all := make(map[string]document.Limits, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
				all[names[i]] = document.Limits{RequestsPerSecond: 1000, Concurrent: 5, TokensPerMinute: 1e6}
			}
			a := New(all)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				a.Admit(start.Add(time.Duration(i)*time.Microsecond), names[i%accounts], 0)
			}
		})
	}
}
