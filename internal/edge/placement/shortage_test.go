package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/inflight"
)

func TestCountShortage(t *testing.T) {
	candidates := []Candidate{
		candidate("tried", "a", inflight.Load{}),
		candidate("full", "a", inflight.Load{Runs: 5, Tokens: 19000}),
		candidate("no slot", "a", inflight.Load{Runs: 24, Tokens: 5000}),
		candidate("reading", "a", inflight.Load{Runs: 3, Tokens: 8000, Unread: 8000}),
	}
	need := Requirements{Tokens: 3000, Output: 500, Unread: 2500, Objective: 1800 * time.Millisecond, Domain: "a"}
	tried := map[string]bool{candidates[0].Target.Key(): true}
	require.Equal(t, -1, ChooseEngine(candidates, engine, need, tried))
	require.Equal(t, Shortage{Tried: 1, Memory: 2, Reading: 1, HeldPercent: 40}, CountShortage(candidates, engine, need, tried))
}
