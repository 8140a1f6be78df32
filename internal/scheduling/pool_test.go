package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"corianderhitch/api/problem"
	"corianderhitch/internal/document"
	"corianderhitch/internal/scheduling/suspicion"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func healthyTargets(names ...string) []Target {
	var list []Target
	for _, name := range names {
		list = append(list, Target{Name: name, TotalBlocks: 100, BlockTokens: 64, Healthy: true, ReportedAt: testStart})
	}
	return list
}

func newTestPool(config Config, targets ...Target) *Pool {
	p := NewPool(config)
	p.SetTargets(testStart, targets)
	return p
}

func testRequest(ticket string) Request {
	return Request{
		Ticket: ticket, Account: "account", Model: "model", Class: "interactive", Priority: 5,
		PromptTokens: 100, MaxTokens: 1000, Submitted: testStart, Fingerprint: uint64(len(ticket)) + uint64(ticket[0])<<8,
	}
}

func TestGrantsOnlyUsableTargets(t *testing.T) {
	targetWith := func(f func(*Target)) Target {
		target := healthyTargets("bad")[0]
		f(&target)
		return target
	}
	tests := []struct {
		name     string
		bad      Target
		excluded []string
	}{
		{"unhealthy", targetWith(func(t *Target) { t.Healthy = false }), nil},
		{"leaving", targetWith(func(t *Target) { t.Leaving = true }), nil},
		{"standby", targetWith(func(t *Target) { t.Standby = true }), nil},
		{"avoided", targetWith(func(*Target) {}), []string{"bad"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool(Config{}, test.bad, healthyTargets("good")[0])
			r := testRequest("a")
			r.ExcludedTargets = test.excluded
			p.Submit(testStart, r)
			d := p.Decide(testStart)
			require.Len(t, d.Grants, 1)
			assert.Equal(t, "good", d.Grants[0].Target)
			assert.NotEmpty(t, d.Grants[0].Reason)
		})
	}
}

func TestWaitsWhileNoTargetIsUsable(t *testing.T) {
	p := newTestPool(Config{})
	p.Submit(testStart, testRequest("a"))
	assert.Empty(t, p.Decide(testStart).Grants)
	assert.False(t, p.NextDecision(testStart).IsZero())
	p.SetTargets(testStart, healthyTargets("x"))
	assert.Len(t, p.Decide(testStart).Grants, 1)
	assert.True(t, p.NextDecision(testStart).IsZero())
}

func TestPrefersTargetWithCachedPrefix(t *testing.T) {
	p := newTestPool(Config{}, healthyTargets("x", "y")...)
	hashes := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	p.ObserveCache(testStart, CacheUpdate{Target: "y", Stored: hashes})
	r := testRequest("a")
	r.PromptTokens, r.PrefixHashes = 600, hashes
	p.Submit(testStart, r)
	assert.Equal(t, "y", p.Decide(testStart).Grants[0].Target)
}

func TestMemoryBoundsAdmission(t *testing.T) {
	p := newTestPool(Config{}, healthyTargets("x")...)
	granted := 0
	for i := range 100 {
		r := testRequest(fmt.Sprint(i))
		r.PromptTokens, r.MaxTokens = 500, 500
		p.Submit(testStart, r)
	}
	now := testStart
	for range 100 { // the prefill backlog spreads the grants over time
		granted += len(p.Decide(now).Grants)
		now = now.Add(50 * time.Millisecond)
	}
	assert.Greater(t, granted, 5)
	assert.Less(t, granted, 12, "6400 tokens hold 6 to 11 sequences of 500 to 1000 tokens")
}

func TestRejectsAtSubmission(t *testing.T) {
	tests := []struct {
		name   string
		config Config
		want   problem.Kind
	}{
		{"queue of the pool", Config{QueueBound: 3}, problem.KindOverloaded},
		{"rate of the account", Config{Limits: map[string]document.Limits{"account": {RequestsPerSecond: 3}}}, problem.KindAccountLimited},
		{"queue of the account", Config{Limits: map[string]document.Limits{"account": {Queued: 3}}}, problem.KindAccountLimited},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool(test.config)
			for i := range 4 {
				p.Submit(testStart, testRequest(fmt.Sprint(i)))
			}
			assert.Equal(t, testStart, p.NextDecision(testStart), "the rejection is due immediately")
			d := p.Decide(testStart)
			require.Len(t, d.Rejections, 1)
			assert.Equal(t, "3", d.Rejections[0].Ticket)
			assert.Equal(t, string(test.want), d.Rejections[0].Kind)
			assert.GreaterOrEqual(t, d.Rejections[0].RetryAfter, minRetryAfter)
		})
	}
}

func TestRejectsAtDeadline(t *testing.T) {
	p := newTestPool(Config{})
	r := testRequest("a")
	r.Deadline = testStart.Add(time.Second)
	p.Submit(testStart, r)
	assert.Empty(t, p.Decide(testStart).Rejections)
	d := p.Decide(testStart.Add(time.Second))
	require.Len(t, d.Rejections, 1)
	assert.Equal(t, string(problem.KindDeadline), d.Rejections[0].Kind)
}

// TestRejectsWhenExpectedWaitExceedsDeadline lets the pool measure a completion
// rate of 100 tokens/s and then queues more work than that completes before the
// deadline.
func TestRejectsWhenExpectedWaitExceedsDeadline(t *testing.T) {
	p := newTestPool(Config{}, healthyTargets("x")...)
	now := testStart
	for i := range 40 {
		r := testRequest(fmt.Sprint("warm", i))
		p.Submit(now, r)
		require.Len(t, p.Decide(now).Grants, 1)
		now = now.Add(time.Second)
		p.Finish(now, Finished{Ticket: r.Ticket, Produced: 100, Complete: true})
	}
	p.SetTargets(now, nil)
	for i := range 20 {
		p.Submit(now, testRequest(fmt.Sprint("ahead", i)))
	}
	r := testRequest("late")
	r.Deadline = now.Add(2 * time.Second)
	p.Submit(now, r)
	d := p.Decide(now)
	require.Len(t, d.Rejections, 1)
	assert.Equal(t, string(problem.KindOverloaded), d.Rejections[0].Kind)
	assert.InDelta(t, 18, d.Rejections[0].RetryAfter.Seconds(), 6, "20 requests of 100 tokens at 100 tokens/s, less 2 s")
}

// TestCrashingRequestIsRejectedAfterTwoCrashes resends a request that crashes its
// target, each time together with the same other requests, until it is rejected.
func TestCrashingRequestIsRejectedAfterTwoCrashes(t *testing.T) {
	p := newTestPool(Config{}, healthyTargets("x", "y", "z")...)
	culprit := testRequest("culprit")
	culprit.Fingerprint = 1
	now := testStart
	crashes := 0
	for attempt := range 10 {
		for i := range 6 {
			r := testRequest(fmt.Sprint("n", attempt, i))
			r.Fingerprint = uint64(100 + i)
			p.Submit(now, r)
		}
		culprit.Ticket = fmt.Sprint("culprit", attempt)
		p.Submit(now, culprit)
		rejected, target := decideUntilAnswered(p, &now, culprit.Ticket)
		if rejected {
			assert.Equal(t, 2, crashes)
			return
		}
		crashes++
		p.Crashed(now, target)
		p.SetTargets(now, healthyTargets("x", "y", "z"))
	}
	t.Fatal("the crashing request was never rejected")
}

// decideUntilAnswered decides until the ticket is granted or rejected, and ends all
// other granted requests a second later.
func decideUntilAnswered(p *Pool, now *time.Time, ticket string) (rejected bool, target string) {
	var running []string
	for range 100 {
		d := p.Decide(*now)
		for _, r := range d.Rejections {
			rejected = rejected || r.Ticket == ticket
		}
		for _, g := range d.Grants {
			if g.Ticket == ticket {
				target = g.Target
			} else {
				running = append(running, g.Ticket)
			}
		}
		if rejected || target != "" {
			return rejected, target
		}
		*now = now.Add(time.Second)
		for _, other := range running {
			p.Finish(*now, Finished{Ticket: other, Produced: 10, Complete: true})
		}
		running = nil
	}
	return false, ""
}

func TestConcurrencyLimitAffectsOnlyItsAccount(t *testing.T) {
	limits := map[string]document.Limits{"limited": {Concurrent: 1}}
	p := newTestPool(Config{Limits: limits}, healthyTargets("x")...)
	for i := range 3 {
		r := testRequest(fmt.Sprint("l", i))
		r.Account = "limited"
		p.Submit(testStart, r)
	}
	p.Submit(testStart, testRequest("free"))
	d := p.Decide(testStart)
	require.Len(t, d.Grants, 2)
	p.Finish(testStart, Finished{Ticket: "l0", Produced: 5, Complete: true})
	d = p.Decide(testStart.Add(time.Second))
	require.Len(t, d.Grants, 1)
	assert.Equal(t, "l1", d.Grants[0].Ticket, "in order of arrival")
}

func TestObjectiveWeightsSetOperatingPoint(t *testing.T) {
	base := Config{}.withDefaults().Objectives
	tailHeavy, memoryHeavy := base, base
	tailHeavy.InterTokenTail, tailHeavy.StallTime, tailHeavy.Preemptions = 6, 1, 1
	memoryHeavy.InterTokenTail, memoryHeavy.StallTime, memoryHeavy.Preemptions = 1, 4, 4
	a, b := newOperatingPoint(tailHeavy), newOperatingPoint(memoryHeavy)
	assert.Less(t, a.maxStepMS, b.maxStepMS, "weight on the inter-token tail shortens steps")
	assert.Greater(t, a.maxOverflowProbability, b.maxOverflowProbability, "weight on stalls and preemptions lowers the accepted overflow probability")
}

func TestSubmitIsIdempotent(t *testing.T) {
	p := newTestPool(Config{}, healthyTargets("x", "y")...)
	p.Submit(testStart, testRequest("a"))
	p.Submit(testStart, testRequest("a"))
	first := p.Decide(testStart).Grants
	require.Len(t, first, 1)
	p.Submit(testStart, testRequest("a"))
	assert.Equal(t, testStart, p.NextDecision(testStart))
	again := p.Decide(testStart).Grants
	require.Len(t, again, 1)
	assert.Equal(t, first[0].Target, again[0].Target)
	p.Finish(testStart, Finished{Ticket: "a", Produced: 3, Complete: true})
	assert.Empty(t, p.running)
}

// TestReportedLoadOfOtherOwnersCounts takes over a pool in which the previous
// owner has filled one engine. Only its load report shows that.
func TestReportedLoadOfOtherOwnersCounts(t *testing.T) {
	full, free := healthyTargets("full")[0], healthyTargets("free")[0]
	full.Running, full.UsedBlocks, full.StepMS = 30, 97, 30
	p := newTestPool(Config{}, full, free)
	for i := range 3 {
		p.Submit(testStart, testRequest(fmt.Sprint(i)))
	}
	for _, g := range p.Decide(testStart).Grants {
		assert.Equal(t, "free", g.Target)
	}
}

func TestAbandonedRequestsAreDropped(t *testing.T) {
	p := newTestPool(Config{}, healthyTargets("x")...)
	p.Submit(testStart, testRequest("a"))
	require.Len(t, p.Decide(testStart).Grants, 1)
	now := testStart
	for range 600 {
		now = now.Add(time.Second)
		p.SetTargets(now, healthyTargets("x"))
	}
	assert.Empty(t, p.running)
}

// TestSlowEnginesStillRunBatches uses an engine on which even the step of a single
// sequence is longer than the objective allows. It must not run its sequences one
// by one.
func TestSlowEnginesStillRunBatches(t *testing.T) {
	p := newTestPool(Config{}, healthyTargets("slow")...)
	now := testStart
	for n := range 1200 {
		now = now.Add(500 * time.Millisecond)
		target := healthyTargets("slow")[0]
		target.ReportedAt = now
		target.Running = 1 + n%40
		target.StepMS = 60 + 0.5*float64(target.Running)
		p.SetTargets(now, []Target{target})
	}
	p.SetTargets(now.Add(time.Second), idleSlowTarget(now.Add(time.Second)))
	for i := range 24 {
		r := testRequest(fmt.Sprint("r", i))
		r.PromptTokens = 1
		r.MaxTokens = 50
		r.Fingerprint = uint64(1000 + i)
		p.Submit(now, r)
		p.Decide(now)
		now = now.Add(200 * time.Millisecond)
	}
	// A step takes 60.5 ms with one sequence and 1.25 times that with 31.
	require.InDelta(t, 31, p.targets["slow"].batchSize(), 5)
}

func idleSlowTarget(now time.Time) []Target {
	target := healthyTargets("slow")[0]
	target.ReportedAt = now
	return []Target{target}
}

// A request that waits to run alone is canceled and submitted again before the next
// decision. It then waits in the fair queue, and must not be granted as the isolated
// request that it was, after which the queue would hold a request that nobody waits for.
func TestIsolatedRequestCanBeSubmittedAgain(t *testing.T) {
	p := newTestPool(Config{}, healthyTargets("x")...)
	now := testStart
	r := testRequest("culprit")
	for _, id := range []string{"first", "second"} {
		p.suspects.RecordCrash(suspicion.Crash{ID: id, Target: id, At: now, Suspects: []uint64{r.Fingerprint, 1}})
	}
	require.Equal(t, suspicion.Isolate, p.suspects.Verdict(r.Fingerprint, now))
	p.Submit(now, testRequest("busy"))
	require.Len(t, p.Decide(now).Grants, 1)
	r.Ticket = "again"
	p.Submit(now, r)
	p.Decide(now)
	require.Equal(t, []string{"again"}, p.isolated, "no target is empty")
	p.Cancel(now, "again")
	p.Submit(now, r)
	p.Finish(now, Finished{Ticket: "busy", Produced: 1, Complete: true})
	var grants []Grant
	require.NotPanics(t, func() { grants = p.Decide(now).Grants })
	for range 10 {
		now = now.Add(time.Second)
		grants = append(grants, p.Decide(now).Grants...)
	}
	require.Len(t, grants, 1)
}
