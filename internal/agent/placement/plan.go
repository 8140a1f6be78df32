// Package placement decides which engine serves which model version and orders
// it so. One holder at a time orders, under a lease with a fencing number. What
// each duty does when two hosts believe to hold it is written in
// docs/design/008-placement.md.
package placement

import (
	"sort"
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/internal/document"
)

const (
	// absentGrace is how long an engine that does not answer still counts as
	// serving, so that a lagging report or a restart moves nothing.
	absentGrace = 30 * time.Second
	// surplusGrace is how long more engines than asked for must have served
	// before one is unloaded.
	surplusGrace = 60 * time.Second
	// unwantedGrace is how long a version that no document names any more stays
	// loaded, so that generations pinned to it can end.
	unwantedGrace = 10 * time.Minute
	// maxLoads is the number of loads in progress in a fleet; the weight store is
	// rate-limited.
	maxLoads = 2
)

// Engine is what the planner knows of one engine.
type Engine struct {
	Name           string
	Domain         string
	Usable         bool // healthy and not leaving
	Leaving        bool
	UnreachableFor time.Duration // for how long it has not answered; 0 while it answers
	NoCapacity     bool          // refused a load for lack of room lately
	Running        int           // sequences, as last reported
	Role           engine.Role
	Loaded         []engine.Loaded
	Pending        []engine.Order // ordered but not yet seen
}

// Version names a model version.
type Version struct {
	Model   string
	Version string
}

// Snapshot is the input of Plan.
type Snapshot struct {
	Placements []document.Placement
	// Wanted holds the versions that some account may use; they are never
	// unloaded for being unwanted.
	Referenced map[Version]bool
	Engines    []Engine // by name
	// Surplus and Unwanted tell for how long more engines than asked for have
	// served a version, and for how long nobody has wanted it.
	SurplusFor      map[Version]time.Duration
	UnreferencedFor map[Version]time.Duration
}

// Step is one order for one engine, without id and fence.
type Step struct {
	Target string
	Order  engine.Order
}

// Plan returns the orders that bring the engines closer to the placements, the
// most needed first. The same snapshot gives the same plan, and a plan that was
// carried out gives an empty one.
func Plan(s Snapshot) []Step {
	var steps []Step
	loads := pendingLoads(s.Engines)
	for _, p := range s.Placements {
		steps = append(steps, adapterSteps(s, p)...)
		missing := p.Replicas - len(serving(s, Version{p.Model, p.Version}))
		for _, e := range candidates(s, p) {
			if missing <= 0 || loads >= maxLoads {
				break
			}
			steps = append(steps, Step{Target: e.Name, Order: engine.Order{Kind: engine.OrderLoad, Model: p.Model, Version: p.Version}})
			missing--
			loads++
		}
	}
	steps = append(steps, roleSteps(s)...)
	return append(steps, unloadSteps(s)...)
}

// serving returns the engines that serve a version now, did so until shortly,
// or are about to.
func serving(s Snapshot, v Version) []Engine {
	var engines []Engine
	for _, e := range s.Engines {
		present := !e.Leaving && e.UnreachableFor < absentGrace
		if present && (loads(e, v) || ordered(e, engine.OrderLoad, v, "")) && !ordered(e, engine.OrderUnload, v, "") {
			engines = append(engines, e)
		}
	}
	return engines
}

// candidates returns the engines that could serve a placement too, the best
// first: in the domains that serve it least, with the fewest versions loaded.
func candidates(s Snapshot, p document.Placement) []Engine {
	v := Version{p.Model, p.Version}
	perDomain := make(map[string]int)
	taken := make(map[string]bool)
	for _, e := range serving(s, v) {
		perDomain[e.Domain]++
		taken[e.Name] = true
	}
	var free []Engine
	for _, e := range s.Engines {
		if e.Usable && !e.NoCapacity && !taken[e.Name] && !ordered(e, engine.OrderUnload, v, "") {
			free = append(free, e)
		}
	}
	sort.SliceStable(free, func(i, j int) bool {
		a, b := free[i], free[j]
		if perDomain[a.Domain] != perDomain[b.Domain] {
			return perDomain[a.Domain] < perDomain[b.Domain]
		}
		if wa, wb := burden(s, a), burden(s, b); wa != wb {
			return wa < wb
		}
		if a.Running != b.Running {
			return a.Running < b.Running
		}
		return a.Name < b.Name
	})
	return free
}

// burden counts the placed versions that an engine serves or will serve.
func burden(s Snapshot, e Engine) int {
	count := 0
	for _, p := range s.Placements {
		v := Version{p.Model, p.Version}
		if loads(e, v) || ordered(e, engine.OrderLoad, v, "") {
			count++
		}
	}
	return count
}

func adapterSteps(s Snapshot, p document.Placement) []Step {
	v := Version{p.Model, p.Version}
	var steps []Step
	for _, e := range serving(s, v) {
		if !e.Usable || !loads(e, v) {
			continue
		}
		for _, adapter := range p.Adapters {
			if !loadsAdapter(e, v, adapter) && !ordered(e, engine.OrderLoad, v, adapter) {
				order := engine.Order{Kind: engine.OrderLoad, Model: v.Model, Version: v.Version, Adapter: adapter}
				steps = append(steps, Step{Target: e.Name, Order: order})
			}
		}
	}
	return steps
}

// roleSteps makes standby engines that have a placed version loaded serve it.
func roleSteps(s Snapshot) []Step {
	var steps []Step
	for _, e := range s.Engines {
		if !e.Usable || e.Role != engine.RoleStandby || orderedRole(e) {
			continue
		}
		for _, p := range s.Placements {
			if loads(e, Version{p.Model, p.Version}) {
				steps = append(steps, Step{Target: e.Name, Order: engine.Order{Kind: engine.OrderRole, Role: engine.RoleGeneral}})
				break
			}
		}
	}
	return steps
}

// unloadSteps unloads at most one engine a version: one that serves more than
// asked for, or a version that nobody has wanted for long. Versions of models
// without a placement are left alone.
func unloadSteps(s Snapshot) []Step {
	var steps []Step
	for _, v := range sortedVersions(s.SurplusFor) {
		if s.SurplusFor[v] >= surplusGrace && settled(s, v) {
			steps = append(steps, unload(leastBusy(serving(s, v)), v)...)
		}
	}
	for _, v := range sortedVersions(s.UnreferencedFor) {
		if s.UnreferencedFor[v] >= unwantedGrace {
			steps = append(steps, unload(leastBusy(serving(s, v)), v)...)
		}
	}
	return steps
}

func unload(engines []Engine, v Version) []Step {
	for _, e := range engines {
		if e.Usable && loads(e, v) {
			return []Step{{Target: e.Name, Order: engine.Order{Kind: engine.OrderUnload, Model: v.Model, Version: v.Version}}}
		}
	}
	return nil
}

// settled tells whether all engines that serve a version answer and nothing is
// in progress, so that the surplus is real.
func settled(s Snapshot, v Version) bool {
	for _, e := range s.Engines {
		if len(e.Pending) > 0 || (loads(e, v) && e.UnreachableFor > 0) {
			return false
		}
	}
	return true
}

func leastBusy(engines []Engine) []Engine {
	sort.SliceStable(engines, func(i, j int) bool { return engines[i].Running < engines[j].Running })
	return engines
}

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

func loads(e Engine, v Version) bool {
	for _, l := range e.Loaded {
		if l.Model == v.Model && l.Version == v.Version {
			return true
		}
	}
	return false
}

func loadsAdapter(e Engine, v Version, adapter string) bool {
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

func ordered(e Engine, kind engine.OrderKind, v Version, adapter string) bool {
	for _, o := range e.Pending {
		if o.Kind == kind && o.Model == v.Model && o.Version == v.Version && o.Adapter == adapter {
			return true
		}
	}
	return false
}

func orderedRole(e Engine) bool {
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
