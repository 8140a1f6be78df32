package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// equalRequests submits n copies of one request and returns the targets that
// were granted.
func equalRequests(p *Pool, now time.Time, first, n int, fingerprint uint64) []string {
	for i := range n {
		p.Submit(now, Request{
			Ticket: fmt.Sprintf("t%d", first+i), Account: "a", Model: "m", Class: "interactive", Priority: 5, Weight: 1,
			PromptTokens: 10, MaxTokens: 100, Submitted: now, Fingerprint: fingerprint,
		})
	}
	var granted []string
	for _, g := range p.Decide(now).Grants {
		granted = append(granted, g.Target)
	}
	return granted
}

func freshTargets(now time.Time, n int) []Target {
	var list []Target
	for i := range n {
		list = append(list, Target{Name: fmt.Sprintf("e%d", i), TotalBlocks: 1000, BlockTokens: 64, ReportedAt: now, Healthy: true})
	}
	return list
}

func TestEqualRequestsShareATargetUntilOneHasFinished(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(Config{})
	p.SetTargets(now, freshTargets(now, 6))
	granted := equalRequests(p, now, 0, 4, 7)
	require.Len(t, granted, 4)
	for _, target := range granted {
		require.Equal(t, granted[0], target)
	}
	// Another request is not held back.
	require.Len(t, equalRequests(p, now, 10, 1, 8), 1)

	p.Finish(now, Finished{Ticket: "t0", Produced: 5, Complete: true})
	seen := make(map[string]bool)
	for _, target := range equalRequests(p, now, 20, 6, 7) {
		seen[target] = true
	}
	require.Greater(t, len(seen), 1, "a request that has finished once is spread")
}

func TestACrashingRequestCostsTwoTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(Config{})
	targets := freshTargets(now, 6)
	p.SetTargets(now, targets)
	lost := make(map[string]bool)
	for round := range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, target := range equalRequests(p, now, 100*round, 3, 7) {
			lost[target] = true
		}
		for target := range lost {
			p.Crashed(now, target)
		}
		p.SetTargets(now, without(targets, lost))
	}
	require.LessOrEqual(t, len(lost), 2)
}

func without(targets []Target, lost map[string]bool) []Target {
	var kept []Target
	for _, target := range targets {
		if !lost[target.Name] {
			kept = append(kept, target)
		}
	}
	return kept
}
