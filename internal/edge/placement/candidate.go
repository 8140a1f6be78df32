// Package placement chooses targets. Its functions are pure: they take what is
// known of the candidates and return a choice.
package placement

import (
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targets"
)

// Candidate is a target with what this host knows of it.
type Candidate struct {
	Target      *targets.Target
	Load        inflight.Load
	FailureCost float64 // 1 for a sound target, growing with its failure rate
	Latency     float64 // average time to an answer in seconds, 0 if unknown
}

// MaxCost is the cost from which a target counts as failing.
const MaxHealthyCost = 4
