package agent

import (
	"corianderhitch/internal/agent/scheduler"
	"corianderhitch/internal/scheduling"
	"corianderhitch/internal/scheduling/baseline"
)

// policyMaker returns the maker of the policy with the given name. All but
// pool_owner are baselines for comparisons.
func policyMaker(name string) scheduler.PolicyFactory {
	switch name {
	case "least_in_flight":
		return func(scheduling.Config) scheduling.Policy { return scheduling.NewLeastInFlight() }
	case "reported_load":
		return func(scheduling.Config) scheduling.Policy { return baseline.NewReportedLoad() }
	case "round_robin":
		return func(scheduling.Config) scheduling.Policy { return baseline.NewRoundRobin() }
	case "worst_case_reservation":
		return func(scheduling.Config) scheduling.Policy { return baseline.NewWorstCaseReservation() }
	default:
		return func(config scheduling.Config) scheduling.Policy { return scheduling.NewPool(config) }
	}
}
