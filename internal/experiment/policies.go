package experiment

import (
	"corianderhitch/internal/scheduling"
	"corianderhitch/internal/scheduling/baseline"
	"corianderhitch/internal/scheduling/cells"
)

// PolicySpec names a policy and tells how to make it.
type PolicySpec struct {
	Name string
	// Remote policies decide in an owner process, one link away from the
	// gateway; the others in the gateway.
	Remote bool
	// Baseline policies are those that ours is held against.
	Baseline bool
	New      func(s *Scenario, seed uint64) scheduling.Policy
}

// Ours is the name of the product's own policy.
const ProductPolicy = "pool_owner"

// Policies returns all policies, the product's own last.
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

// NamedPolicies returns the policies that run only when they are named: those
// that differ from others in large pools alone.
func OptInPolicies() []PolicySpec {
	return []PolicySpec{
		{Name: "pool_cells", Remote: true, New: func(s *Scenario, _ uint64) scheduling.Policy {
			return cells.New(s.poolConfig())
		}},
	}
}

// poolConfig is what the scenario's environment document tells a Pool.
func (s *Scenario) poolConfig() scheduling.Config {
	return scheduling.Config{Objectives: s.Objectives}
}
