package scheduler

import (
	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/scheduling"
)

// poolEngines returns the engines that serve the pool's model: those of the pool's
// region, or those of all regions if none in its region is usable.
func poolEngines(key Key, rows []control.TargetState) []control.TargetState {
	var local, all []control.TargetState
	for _, r := range rows {
		if r.Kind != platform.TargetEngine || !servesModel(r.Load, key.Model) {
			continue
		}
		all = append(all, r)
		if r.Region == key.Region {
			local = append(local, r)
		}
	}
	for _, r := range local {
		if r.Healthy && !r.Leaving {
			return local
		}
	}
	return all
}

// servesModel reports whether an engine has any version of the model loaded.
func servesModel(load engine.LoadReport, model string) bool {
	for _, l := range load.Loaded {
		if l.Model == model {
			return true
		}
	}
	return false
}

// serves reports whether an engine has the model version and the adapter loaded.
func serves(load engine.LoadReport, model, version, adapter string) bool {
	for _, l := range load.Loaded {
		if l.Model != model || l.Version != version {
			continue
		}
		if adapter == "" || contains(l.Adapters, adapter) {
			return true
		}
	}
	return false
}

// classifyTargets returns the names of the targets that can run the request now, and
// of those that can't because they lack its version or adapter.
func classifyTargets(rows []control.TargetState, args control.AdmitArgs) (usable, incompatible []string) {
	for _, r := range rows {
		switch {
		case !serves(r.Load, args.Model, args.Version, args.Adapter):
			incompatible = append(incompatible, r.Name)
		case r.Healthy && !r.Leaving && r.Load.Role != engine.RoleStandby:
			usable = append(usable, r.Name)
		}
	}
	return usable, incompatible
}

// modelCount returns how many models an engine has loaded. Each has a pool of its own, perhaps on
// another host, and they divide the engine's limit evenly.
func modelCount(load engine.LoadReport) int {
	models := make(map[string]bool, len(load.Loaded))
	for _, l := range load.Loaded {
		models[l.Model] = true
	}
	return len(models)
}

// policyTargets converts rows to the policy's view of targets.
func policyTargets(rows []control.TargetState) []scheduling.Target {
	targets := make([]scheduling.Target, len(rows))
	for i, r := range rows {
		targets[i] = scheduling.Target{
			Name:        r.Name,
			Domain:      r.Domain,
			TotalBlocks: r.Load.TotalBlocks,
			BlockTokens: r.Load.BlockTokens,
			ReportedAt:  r.Load.ReportedAt,
			UsedBlocks:  r.Load.UsedBlocks,
			Running:     r.Load.Running,
			Waiting:     r.Load.Waiting,
			StepMS:      r.Load.StepMS,
			Preemptions: r.Load.Preemptions,
			Leaving:     r.Leaving,
			Healthy:     r.Healthy,
			Standby:     r.Load.Role == engine.RoleStandby,
			Limit:       scheduling.RequestLimit{Named: r.Load.Limited, PerSecond: r.Load.RequestLimit / float64(max(1, modelCount(r.Load)))},
		}
	}
	return targets
}

func contains(list []string, item string) bool {
	for _, x := range list {
		if x == item {
			return true
		}
	}
	return false
}
