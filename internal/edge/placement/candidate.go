// Package placement chooses the target of a run or plain call. Its choices are
// pure functions of what the host knows about the candidates.
package placement

import (
	"corianderhitch/internal/edge/inflight"
	"corianderhitch/internal/edge/targets"
)

// Candidate is a target with what this host knows about it.
type Candidate struct {
	Target      *targets.Target
	Load        inflight.Load
	FailureCost float64 // 1 for a healthy target, growing with its failure rate
	Latency     float64 // average time to an answer in seconds, 0 if unknown
	Slowness    float64 // learned factor of its speed, see targetspeed: 2 takes twice as long; 0 and 1 if targets don't differ
}

// MaxHealthyCost is the failure cost above which a target counts as failing.
const MaxHealthyCost = 4
