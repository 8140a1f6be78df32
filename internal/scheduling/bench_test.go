package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	"corianderhitch/internal/scheduling"
	"corianderhitch/internal/scheduling/cells"
)

var benchStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// load is a pool in use: most targets busy, and one request that comes and goes.
type loadedPool struct {
	policy   *cells.Policy
	now      time.Time
	accounts int
	next     int
}

// settle bounds the virtual time in which the first requests are placed.
const maxSettleTime = time.Minute

// busyShare is the number of requests that run on each target.
const requestsPerTarget = 20

func newLoadedPool(tb testing.TB, targets, accounts int) *loadedPool {
	tb.Helper()
	l := &loadedPool{policy: cells.New(scheduling.Config{}), now: benchStart, accounts: accounts}
	list := make([]scheduling.Target, targets)
	for i := range list {
		list[i] = scheduling.Target{
			Name: fmt.Sprintf("engine-%04d", i), TotalBlocks: 1024, BlockTokens: 64, Healthy: true,
			ReportedAt: l.now, Running: requestsPerTarget, StepMS: 26,
		}
	}
	l.policy.SetTargets(l.now, list)
	for range targets * requestsPerTarget {
		l.submit()
	}
	for !l.policy.NextDecision(l.now).IsZero() && l.now.Sub(benchStart) < maxSettleTime {
		l.now = l.now.Add(100 * time.Millisecond)
		l.policy.Decide(l.now)
	}
	return l
}

func (l *loadedPool) submit() string {
	l.next++
	account := l.next % l.accounts
	ticket := fmt.Sprintf("ticket-%d", l.next)
	l.policy.Submit(l.now, scheduling.Request{
		Ticket: ticket, Account: fmt.Sprintf("account-%d", account), Model: "model", Version: "1",
		Class: "interactive", Priority: l.next % 10, Weight: 1, PromptTokens: 300, MaxTokens: 1024,
		PrefixHashes: []uint64{uint64(account), uint64(account) + 1<<32, uint64(l.next) << 20},
		Submitted:    l.now, Fingerprint: uint64(l.next),
	})
	return ticket
}

// decision submits a request, decides on it and ends it again.
func (l *loadedPool) submitDecideFinish() {
	l.now = l.now.Add(time.Millisecond)
	ticket := l.submit()
	l.policy.DecideFor(l.now, ticket)
	l.policy.Finish(l.now, scheduling.Finished{Ticket: ticket, Produced: 50 + l.next%200, Complete: true})
}

func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{12, 675, 2700} {
		for _, accounts := range []int{10, 1000, 27000} {
			b.Run(fmt.Sprintf("targets=%d/accounts=%d", targets, accounts), func(b *testing.B) {
				l := newLoadedPool(b, targets, accounts)
				b.ReportAllocs()
				for b.Loop() {
					l.submitDecideFinish()
				}
			})
		}
	}
}

func BenchmarkSetTargets(b *testing.B) {
	l := newLoadedPool(b, 12, 10)
	list := make([]scheduling.Target, 12)
	b.ReportAllocs()
	for b.Loop() {
		l.now = l.now.Add(250 * time.Millisecond)
		for i := range list {
			list[i] = scheduling.Target{
				Name: fmt.Sprintf("engine-%04d", i), TotalBlocks: 1024, BlockTokens: 64, Healthy: true,
				ReportedAt: l.now, Running: requestsPerTarget, StepMS: 26,
			}
		}
		l.policy.SetTargets(l.now, list)
	}
}
