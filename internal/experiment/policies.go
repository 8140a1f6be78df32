package experiment

import (
	"corianderhitch/internal/scheduling"
	"corianderhitch/internal/scheduling/baseline"
	"corianderhitch/internal/scheduling/cells"
)

// PolicySpec is a named policy of the experiment.
type PolicySpec struct {
	Name string
	// Remote policies decide in the process of the pool's owner, one link delay away
	// from the gateway; the others decide in the gateway.
	Remote bool
	// Baseline policies are those that CheckCriteria compares the product's policy with.
	Baseline bool
	// IgnoresPauses makes the gateways keep a target that wants a pause as a candidate.
	// They send what it rejects to another target.
	IgnoresPauses bool
	// LostStreams is what happens to a stream that has begun if its engine is lost.
	LostStreams LostStreams
	New         func(s *Scenario, seed uint64) scheduling.Policy
}

// LostStreams is what happens to a stream that has begun if its engine is lost.
type LostStreams int

// Ways to handle lost streams. Each request runs at most maxAttempts times.
const (
	// ContinueLost continues a stream at another engine after the last token that its
	// caller has, or breaks it off if the scenario doesn't allow that.
	ContinueLost LostStreams = iota
	// RepeatLost makes the caller send the request again at once and begins the answer anew.
	RepeatLost
	// BreakOffLost ends the stream.
	BreakOffLost
)

// The ends of the names of policies with other ways than ContinueLost.
const (
	repeatLostSuffix   = "_repeating_lost_streams"
	breakOffLostSuffix = "_breaking_off_lost_streams"
)

// withLostStreams returns the policy with another way to handle lost streams.
func (p PolicySpec) withLostStreams(way LostStreams, suffix string) PolicySpec {
	p.Name += suffix
	p.LostStreams = way
	return p
}

// variants returns the policy with the variants that the scenario compares it with.
func (p PolicySpec) variants(s *Scenario) []PolicySpec {
	switch {
	case s.hasPauses():
		return []PolicySpec{p.ignoringPauses(), p}
	case s.CompareLostStreams:
		return []PolicySpec{p.withLostStreams(BreakOffLost, breakOffLostSuffix), p.withLostStreams(RepeatLost, repeatLostSuffix), p}
	default:
		return []PolicySpec{p}
	}
}

// ignoringPauses returns the policy with gateways that ignore pauses.
func (p PolicySpec) ignoringPauses() PolicySpec {
	p.Name += ignoringPausesSuffix
	p.IgnoresPauses = true
	return p
}

// ignoringPausesSuffix ends the names of policies whose gateways ignore pauses.
const ignoringPausesSuffix = "_ignoring_pauses"

// ProductPolicy is the name of the policy that the product uses.
const ProductPolicy = "pool_owner"

// Policies returns the policies that run by default, the product's policy last.
func Policies() []PolicySpec {
	return []PolicySpec{
		{Name: "round_robin", Baseline: true, New: func(*Scenario, uint64) scheduling.Policy { return baseline.NewRoundRobin() }},
		{Name: "least_in_flight", Remote: true, Baseline: true, New: func(*Scenario, uint64) scheduling.Policy { return scheduling.NewLeastInFlight() }},
		{Name: "reported_load", Baseline: true, New: func(*Scenario, uint64) scheduling.Policy { return baseline.NewReportedLoad() }},
		{Name: "worst_case_reservation", Remote: true, Baseline: true, New: func(*Scenario, uint64) scheduling.Policy { return baseline.NewWorstCaseReservation() }},
		{Name: "independent_p2c", Baseline: true, New: func(s *Scenario, seed uint64) scheduling.Policy {
			return baseline.NewIndependentP2C(s.Gateways, seed)
		}},
		{Name: "target_owner", Remote: true, New: func(s *Scenario, seed uint64) scheduling.Policy {
			return baseline.NewTargetOwner(s.poolConfig(), seed)
		}},
		{Name: "credits", New: func(s *Scenario, _ uint64) scheduling.Policy {
			return baseline.NewCredits(s.poolConfig(), s.Gateways)
		}},
		{Name: ProductPolicy, Remote: true, New: func(s *Scenario, _ uint64) scheduling.Policy {
			return scheduling.NewPool(s.poolConfig())
		}},
	}
}

// OptInPolicies returns the policies that run only if they are named, because they differ
// from the others only in large pools.
func OptInPolicies() []PolicySpec {
	return []PolicySpec{
		{Name: "pool_cells", Remote: true, New: func(s *Scenario, _ uint64) scheduling.Policy {
			return cells.New(s.poolConfig())
		}},
	}
}

// poolConfig returns the part of a Pool's configuration that comes from the environment
// document.
func (s *Scenario) poolConfig() scheduling.Config {
	return scheduling.Config{Objectives: s.Objectives}
}
