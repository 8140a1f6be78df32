package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// submitDuplicates submits n requests with the same fingerprint, decides, and
// returns the targets of all grants.
func submitDuplicates(p *Pool, now time.Time, first, n int, fingerprint uint64) []string {
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

func idleTargets(now time.Time, n int) []Target {
	var list []Target
	for i := range n {
		list = append(list, Target{Name: fmt.Sprintf("e%d", i), TotalBlocks: 1000, BlockTokens: 64, ReportedAt: now, Healthy: true})
	}
	return list
}

func TestDuplicatesShareATargetUntilOneCompletes(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(Config{})
	p.SetTargets(now, idleTargets(now, 6))
	granted := submitDuplicates(p, now, 0, 4, 7)
	require.Len(t, granted, 4)
	for _, target := range granted {
		require.Equal(t, granted[0], target)
	}
	// A request with another fingerprint is not blocked.
	require.Len(t, submitDuplicates(p, now, 10, 1, 8), 1)

	p.Finish(now, Finished{Ticket: "t0", Produced: 5, Complete: true})
	seen := make(map[string]bool)
	for _, target := range submitDuplicates(p, now, 20, 6, 7) {
		seen[target] = true
	}
	require.Greater(t, len(seen), 1, "duplicates may use all targets once one has completed")
}

func TestDuplicateCrashingRequestsCrashAtMostTwoTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(Config{})
	targets := idleTargets(now, 6)
	p.SetTargets(now, targets)
	crashed := make(map[string]bool)
	for round := range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, target := range submitDuplicates(p, now, 100*round, 3, 7) {
			crashed[target] = true
		}
		for target := range crashed {
			p.Crashed(now, target)
		}
		p.SetTargets(now, without(targets, crashed))
	}
	require.LessOrEqual(t, len(crashed), 2)
}

func without(targets []Target, excluded map[string]bool) []Target {
	var kept []Target
	for _, target := range targets {
		if !excluded[target.Name] {
			kept = append(kept, target)
		}
	}
	return kept
}
