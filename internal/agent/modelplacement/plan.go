// Package modelplacement decides which engine serves which model version, and orders
// engines to load and unload accordingly. One host at a time does so, under a lease with
// a fencing token. docs/design/008-placement.md describes what happens when two hosts
// both believe that they hold it.
package modelplacement

import (
	"sort"
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/internal/document"
)

const (
	// unreachableGrace is how long an engine that doesn't answer still counts as
	// serving, so that a lagging report or a restart causes no loads elsewhere.
	unreachableGrace = 30 * time.Second
	// surplusGrace is how long more engines than the placement's replicas must have
	// served a version before one is unloaded.
	surplusGrace = 60 * time.Second
	// unreferencedGrace is how long a version that the document no longer references
	// stays loaded, so that generations pinned to it can end.
	unreferencedGrace = 10 * time.Minute
	// maxConcurrentLoads bounds the loads in progress in the fleet, because the weight
	// store is rate-limited.
	maxConcurrentLoads = 2
)

// Engine is the planner's view of one engine.
type Engine struct {
	Name           string
	Domain         string
	Usable         bool // healthy and not leaving
	Leaving        bool
	UnreachableFor time.Duration // 0 while it answers
	NoCapacity     bool          // rejected a load recently, its limit of model versions was reached
	Running        int           // sequences, as last reported
	Role           engine.Role
	Loaded         []engine.Loaded
	Pending        []engine.Order // sent, but their effect is not visible yet
}

// Version identifies a model version.
type Version struct {
	Model   string
	Version string
}

// Snapshot is the input of Plan.
type Snapshot struct {
	Placements []document.Placement
	// Referenced holds the versions that some client account may use. They are never
	// unloaded as unreferenced.
	Referenced map[Version]bool
	Engines    []Engine // sorted by name
	// SurplusFor is how long more engines than the placement's replicas have served a
	// version. UnreferencedFor is how long a loaded version has been in neither
	// Placements nor Referenced.
	SurplusFor      map[Version]time.Duration
	UnreferencedFor map[Version]time.Duration
}

// Step is one order for one engine, without id, fencing token and revision.
type Step struct {
	Target string
	Order  engine.Order
}

// Plan returns the orders that bring the engines closer to the placements, the most
// urgent first. It is deterministic, and returns nothing once its orders have been
// applied.
func Plan(s Snapshot) []Step {
	var steps []Step
	loadsInProgress := pendingLoads(s.Engines)
	for _, p := range s.Placements {
		steps = append(steps, adapterSteps(s, p)...)
		missing := p.Replicas - len(servingEngines(s, Version{p.Model, p.Version}))
		for _, e := range candidates(s, p) {
			if missing <= 0 || loadsInProgress >= maxConcurrentLoads {
				break
			}
			steps = append(steps, Step{Target: e.Name, Order: engine.Order{Kind: engine.OrderLoad, Model: p.Model, Version: p.Version}})
			missing--
			loadsInProgress++
		}
	}
	steps = append(steps, roleSteps(s)...)
	return append(steps, unloadSteps(s)...)
}

// servingEngines returns the engines that serve a version now, are unreachable for
// less than unreachableGrace but served it, or have a pending load of it.
func servingEngines(s Snapshot, v Version) []Engine {
	var engines []Engine
	for _, e := range s.Engines {
		reachable := !e.Leaving && e.UnreachableFor < unreachableGrace
		if reachable && (hasLoaded(e, v) || hasPending(e, engine.OrderLoad, v, "")) && !hasPending(e, engine.OrderUnload, v, "") {
			engines = append(engines, e)
		}
	}
	return engines
}

// candidates returns the engines on which a placement's version can be loaded, best
// first: in the failure domains with the fewest engines that serve it, then with the
// fewest placed versions, then with the fewest running sequences.
func candidates(s Snapshot, p document.Placement) []Engine {
	v := Version{p.Model, p.Version}
	perDomain := make(map[string]int)
	alreadyServing := make(map[string]bool)
	for _, e := range servingEngines(s, v) {
		perDomain[e.Domain]++
		alreadyServing[e.Name] = true
	}
	var available []Engine
	for _, e := range s.Engines {
		if e.Usable && !e.NoCapacity && !alreadyServing[e.Name] && !hasPending(e, engine.OrderUnload, v, "") {
			available = append(available, e)
		}
	}
	sort.SliceStable(available, func(i, j int) bool {
		a, b := available[i], available[j]
		if perDomain[a.Domain] != perDomain[b.Domain] {
			return perDomain[a.Domain] < perDomain[b.Domain]
		}
		if ca, cb := placedVersionCount(s, a), placedVersionCount(s, b); ca != cb {
			return ca < cb
		}
		if a.Running != b.Running {
			return a.Running < b.Running
		}
		return a.Name < b.Name
	})
	return available
}

// placedVersionCount counts the placed versions that an engine has loaded or is about
// to load.
func placedVersionCount(s Snapshot, e Engine) int {
	count := 0
	for _, p := range s.Placements {
		v := Version{p.Model, p.Version}
		if hasLoaded(e, v) || hasPending(e, engine.OrderLoad, v, "") {
			count++
		}
	}
	return count
}

// adapterSteps loads the placement's adapters on the engines that have its version
// loaded.
func adapterSteps(s Snapshot, p document.Placement) []Step {
	v := Version{p.Model, p.Version}
	var steps []Step
	for _, e := range servingEngines(s, v) {
		if !e.Usable || !hasLoaded(e, v) {
			continue
		}
		for _, adapter := range p.Adapters {
			if !hasAdapter(e, v, adapter) && !hasPending(e, engine.OrderLoad, v, adapter) {
				order := engine.Order{Kind: engine.OrderLoad, Model: v.Model, Version: v.Version, Adapter: adapter}
				steps = append(steps, Step{Target: e.Name, Order: order})
			}
		}
	}
	return steps
}

// roleSteps ends the standby role of engines that have a placed version loaded.
func roleSteps(s Snapshot) []Step {
	var steps []Step
	for _, e := range s.Engines {
		if !e.Usable || e.Role != engine.RoleStandby || hasPendingRole(e) {
			continue
		}
		for _, p := range s.Placements {
			if hasLoaded(e, Version{p.Model, p.Version}) {
				steps = append(steps, Step{Target: e.Name, Order: engine.Order{Kind: engine.OrderRole, Role: engine.RoleGeneral}})
				break
			}
		}
	}
	return steps
}

// unloadSteps unloads one replica of each version that has been in surplus for
// surplusGrace or unreferenced for unreferencedGrace.
func unloadSteps(s Snapshot) []Step {
	var steps []Step
	for _, v := range sortedVersions(s.SurplusFor) {
		if s.SurplusFor[v] >= surplusGrace && isStable(s, v) {
			steps = append(steps, unloadStep(sortByRunning(servingEngines(s, v)), v)...)
		}
	}
	for _, v := range sortedVersions(s.UnreferencedFor) {
		if s.UnreferencedFor[v] >= unreferencedGrace {
			steps = append(steps, unloadStep(sortByRunning(servingEngines(s, v)), v)...)
		}
	}
	return steps
}

// unloadStep unloads a version from the first usable engine that has it loaded.
func unloadStep(engines []Engine, v Version) []Step {
	for _, e := range engines {
		if e.Usable && hasLoaded(e, v) {
			return []Step{{Target: e.Name, Order: engine.Order{Kind: engine.OrderUnload, Model: v.Model, Version: v.Version}}}
		}
	}
	return nil
}

// isStable reports whether all engines that serve a version answer and no order is
// pending, so that a surplus isn't caused by a lagging view.
func isStable(s Snapshot, v Version) bool {
	for _, e := range s.Engines {
		if len(e.Pending) > 0 || (hasLoaded(e, v) && e.UnreachableFor > 0) {
			return false
		}
	}
	return true
}

// sortByRunning sorts engines in place, those with the fewest running sequences first.
func sortByRunning(engines []Engine) []Engine {
	sort.SliceStable(engines, func(i, j int) bool { return engines[i].Running < engines[j].Running })
	return engines
}

// pendingLoads counts the pending loads of model versions, without those of adapters.
func pendingLoads(engines []Engine) int {
	count := 0
	for _, e := range engines {
		for _, o := range e.Pending {
			if o.Kind == engine.OrderLoad && o.Adapter == "" {
				count++
			}
		}
	}
	return count
}

func hasLoaded(e Engine, v Version) bool {
	for _, l := range e.Loaded {
		if l.Model == v.Model && l.Version == v.Version {
			return true
		}
	}
	return false
}

func hasAdapter(e Engine, v Version, adapter string) bool {
	for _, l := range e.Loaded {
		if l.Model != v.Model || l.Version != v.Version {
			continue
		}
		for _, a := range l.Adapters {
			if a == adapter {
				return true
			}
		}
	}
	return false
}

func hasPending(e Engine, kind engine.OrderKind, v Version, adapter string) bool {
	for _, o := range e.Pending {
		if o.Kind == kind && o.Model == v.Model && o.Version == v.Version && o.Adapter == adapter {
			return true
		}
	}
	return false
}

func hasPendingRole(e Engine) bool {
	for _, o := range e.Pending {
		if o.Kind == engine.OrderRole {
			return true
		}
	}
	return false
}

func sortedVersions(m map[Version]time.Duration) []Version {
	versions := make([]Version, 0, len(m))
	for v := range m {
		versions = append(versions, v)
	}
	sort.Slice(versions, func(i, j int) bool {
		if versions[i].Model != versions[j].Model {
			return versions[i].Model < versions[j].Model
		}
		return versions[i].Version < versions[j].Version
	})
	return versions
}
