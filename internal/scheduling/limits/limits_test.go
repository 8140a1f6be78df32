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
	a := New(map[string]document.Limits{"x": {RequestsPerSecond: 2}}, time.Time{})
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
	a := New(map[string]document.Limits{"x": {Queued: 3, Concurrent: 1}}, time.Time{})
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
	a := New(limited, time.Time{})
	a.Started("x")
	a.Configure(nil)
	a.Ended(start, "x", 0)
	a.Configure(limited)
	assert.True(t, a.MayRun("x"), "nothing runs")
}

func TestRequestThatStartsWhileItsLimitIsLiftedIsNotCounted(t *testing.T) {
	a := New(nil, time.Time{})
	a.Started("x")
	a.Configure(map[string]document.Limits{"x": {Concurrent: 1}})
	assert.False(t, a.MayRun("x"), "it still runs")
	a.Ended(start, "x", 0)
	assert.True(t, a.MayRun("x"))
}

func TestTokensPerMinute(t *testing.T) {
	a := New(map[string]document.Limits{"x": {TokensPerMinute: 600}}, time.Time{})
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
			a := New(map[string]document.Limits{"a": limits}, time.Time{})
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
	a := New(map[string]document.Limits{"a": {RequestsPerSecond: 5}}, time.Time{})
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
			a := New(all, time.Time{})
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				a.Admit(start.Add(time.Duration(i)*time.Microsecond), names[i%accounts], 0)
			}
		})
	}
}

func TestRatesThatAnotherProcessMayHaveUsed(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		after     time.Duration // since the other process
		granted   int           // of 100 requests
		wait      time.Duration // until the next one
	}{
		"at once":                         {perSecond: 20, granted: 0, wait: 50 * time.Millisecond},
		"what has accumulated":            {perSecond: 20, after: 300 * time.Millisecond, granted: 6, wait: 50 * time.Millisecond},
		"the whole burst":                 {perSecond: 20, after: time.Minute, granted: 20, wait: 50 * time.Millisecond},
		"slow rate waits a second":        {perSecond: 0.1, granted: 0, wait: time.Second},
		"slow rate after a second":        {perSecond: 0.1, after: time.Second, granted: 1, wait: 10 * time.Second},
		"slow rate after its first burst": {perSecond: 0.1, after: time.Minute, granted: 1, wait: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for _, takenOver := range []bool{false, true} {
				limits := map[string]document.Limits{"x": {RequestsPerSecond: c.perSecond}}
				a := New(limits, start)
				if takenOver {
					a = New(limits, time.Time{})
					a.Admit(start.Add(-time.Minute), "x", 0)
					a.TakeOver(start)
				}
				now, granted, wait := start.Add(c.after), 0, time.Duration(0)
				for range 100 {
					reason, after := a.Admit(now, "x", 0)
					if reason == None {
						granted++
					}
					wait = after
				}
				assert.Equal(t, c.granted, granted, "taken over: %v", takenOver)
				assert.InDelta(t, c.wait.Seconds(), wait.Seconds(), 0.001, "taken over: %v", takenOver)
			}
		})
	}
}

func TestTakeOverForgivesNoTokens(t *testing.T) {
	a := New(map[string]document.Limits{"x": {TokensPerMinute: 600}}, time.Time{})
	a.Admit(start, "x", 0)
	a.Ended(start, "x", 600)
	a.Ended(start, "x", 600)
	a.TakeOver(start)
	reason, wait := a.Admit(start, "x", 0)
	assert.Equal(t, TokenRate, reason)
	assert.InDelta(t, 60.1, wait.Seconds(), 0.01)
}
