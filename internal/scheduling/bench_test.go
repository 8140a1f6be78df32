package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	"corianderhitch/internal/scheduling"
	"corianderhitch/internal/scheduling/cells"
)

var benchStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// loadedPool is a scheduling policy with busy targets, on which one request at a
// time is placed and ended again.
type loadedPool struct {
	policy   *cells.Policy
	now      time.Time
	accounts int
	next     int
}

// maxSettleTime bounds the virtual time in which the initial requests are placed.
const maxSettleTime = time.Minute

// requestsPerTarget is the number of requests that run on each target.
const requestsPerTarget = 20

func newLoadedPool(tb testing.TB, targets, accounts int) *loadedPool {
	tb.Helper()
	pool := &loadedPool{policy: cells.New(scheduling.Config{}), now: benchStart, accounts: accounts}
	list := make([]scheduling.Target, targets)
	for i := range list {
		list[i] = scheduling.Target{
			Name: fmt.Sprintf("engine-%04d", i), TotalBlocks: 1024, BlockTokens: 64, Healthy: true,
			ReportedAt: pool.now, Running: requestsPerTarget, StepMS: 26,
		}
	}
	pool.policy.SetTargets(pool.now, list)
	for range targets * requestsPerTarget {
		pool.submit()
	}
	for !pool.policy.NextDecision(pool.now).IsZero() && pool.now.Sub(benchStart) < maxSettleTime {
		pool.now = pool.now.Add(100 * time.Millisecond)
		pool.policy.Decide(pool.now)
	}
	return pool
}

func (p *loadedPool) submit() string {
	p.next++
	account := p.next % p.accounts
	ticket := fmt.Sprintf("ticket-%d", p.next)
	p.policy.Submit(p.now, scheduling.Request{
		Ticket: ticket, Account: fmt.Sprintf("account-%d", account), Model: "model", Version: "1",
		Class: "interactive", Priority: p.next % 10, Weight: 1, PromptTokens: 300, MaxTokens: 1024,
		PrefixHashes: []uint64{uint64(account), uint64(account) + 1<<32, uint64(p.next) << 20},
		Submitted:    p.now, Fingerprint: uint64(p.next),
	})
	return ticket
}

// submitDecideFinish submits a request, decides on it and ends it again.
func (p *loadedPool) submitDecideFinish() {
	p.now = p.now.Add(time.Millisecond)
	ticket := p.submit()
	p.policy.DecideFor(p.now, ticket)
	p.policy.Finish(p.now, scheduling.Finished{Ticket: ticket, Produced: 50 + p.next%200, Complete: true})
}

func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{12, 675, 2700} {
		for _, accounts := range []int{10, 1000, 27000} {
			b.Run(fmt.Sprintf("targets=%d/accounts=%d", targets, accounts), func(b *testing.B) {
				pool := newLoadedPool(b, targets, accounts)
				b.ReportAllocs()
				for b.Loop() {
					pool.submitDecideFinish()
				}
			})
		}
	}
}

func BenchmarkSetTargets(b *testing.B) {
	pool := newLoadedPool(b, 12, 10)
	list := make([]scheduling.Target, 12)
	b.ReportAllocs()
	for b.Loop() {
		pool.now = pool.now.Add(250 * time.Millisecond)
		for i := range list {
			list[i] = scheduling.Target{
				Name: fmt.Sprintf("engine-%04d", i), TotalBlocks: 1024, BlockTokens: 64, Healthy: true,
				ReportedAt: pool.now, Running: requestsPerTarget, StepMS: 26,
			}
		}
		pool.policy.SetTargets(pool.now, list)
	}
}
