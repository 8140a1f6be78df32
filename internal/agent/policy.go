package agent

import (
	"corianderhitch/internal/agent/scheduler"
	"corianderhitch/internal/scheduling"
	"corianderhitch/internal/scheduling/baseline"
)

// policyFactory returns the factory of the scheduling policy with the given name, by
// default pool_owner. All other policies are baselines for comparisons.
func policyFactory(name string) scheduler.PolicyFactory {
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
