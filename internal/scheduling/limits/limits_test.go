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

func TestRequestThatEndsWhileItsLimitIsLiftedIsCountedForever(t *testing.T) {
	limited := map[string]document.Limits{"x": {Concurrent: 1}}
	a := New(limited)
	a.Started("x")
	a.Configure(nil)
	a.Ended(start, "x", 0)
	a.Configure(limited)
	assert.True(t, a.MayRun("x"), "nothing runs")
}

func TestRequestThatStartsWhileItsLimitIsLiftedIsNotCounted(t *testing.T) {
	a := New(nil)
	a.Started("x")
	a.Configure(map[string]document.Limits{"x": {Concurrent: 1}})
	assert.False(t, a.MayRun("x"), "it still runs")
	a.Ended(start, "x", 0)
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

func TestDocumentChangeRefillsNoRates(t *testing.T) {
	for name, changed := range map[string]document.Limits{
		"same limits":          {RequestsPerSecond: 5, TokensPerMinute: 600},
		"other limits changed": {RequestsPerSecond: 5, TokensPerMinute: 600, Queued: 9},
		"changed back":         {RequestsPerSecond: 4, TokensPerMinute: 500},
		"lifted for a while":   {},
	} {
		t.Run(name, func(t *testing.T) {
			limits := document.Limits{RequestsPerSecond: 5, TokensPerMinute: 600}
			a := New(map[string]document.Limits{"a": limits})
			admitAll := func() (granted int) {
				for range 100 {
					if reason, _ := a.Admit(start, "a", 0); reason == None {
						granted++
					}
				}
				return granted
			}
			assert.Equal(t, 5, admitAll())
			for range 4 {
				a.Configure(map[string]document.Limits{"a": changed})
				if changed.RequestsPerSecond > 0 {
					assert.Zero(t, admitAll())
				}
				a.Configure(map[string]document.Limits{"a": limits})
				assert.Zero(t, admitAll())
			}
			later := start.Add(time.Second)
			a.Ended(later, "a", 600)
			a.Configure(map[string]document.Limits{"a": changed})
			a.Configure(map[string]document.Limits{"a": limits})
			reason, _ := a.Admit(later, "a", 0)
			assert.Equal(t, TokenRate, reason)
			reason, _ = a.Admit(later.Add(15*time.Second), "a", 0)
			assert.Equal(t, None, reason)
		})
	}
}

func TestChangedRateIsInForceAtOnce(t *testing.T) {
	a := New(map[string]document.Limits{"a": {RequestsPerSecond: 5}})
	admitted := func(at time.Time) (n int) {
		for reason, _ := a.Admit(at, "a", 0); reason == None; reason, _ = a.Admit(at, "a", 0) {
			n++
		}
		return n
	}
	assert.Equal(t, 5, admitted(start))
	a.Configure(map[string]document.Limits{"a": {RequestsPerSecond: 50}})
	assert.Zero(t, admitted(start))
	assert.Equal(t, 50, admitted(start.Add(time.Second)))
	a.Configure(map[string]document.Limits{"a": {RequestsPerSecond: 2}})
	assert.Equal(t, 2, admitted(start.Add(time.Minute)))
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
