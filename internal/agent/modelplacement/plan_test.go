package modelplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"corianderhitch/api/engine"
	"corianderhitch/internal/document"
)

var v1 = Version{"writer", "1"}

func newEngine(name, domain string, versions ...string) Engine {
	e := Engine{Name: name, Domain: domain, Usable: true, Role: engine.RoleGeneral}
	for _, v := range versions {
		e.Loaded = append(e.Loaded, engine.Loaded{Model: "writer", Version: v})
	}
	return e
}

func placementOf(replicas int, adapters ...string) []document.Placement {
	return []document.Placement{{Model: "writer", Version: "1", Replicas: replicas, Adapters: adapters}}
}

func TestPlanPrefersDomainWithoutTheVersion(t *testing.T) {
	s := Snapshot{Placements: placementOf(2), Engines: []Engine{newEngine("e1", "a", "1"), newEngine("e2", "a"), newEngine("e3", "b")}}
	steps := Plan(s)
	require.Equal(t, []Step{{Target: "e3", Order: engine.Order{Kind: engine.OrderLoad, Model: "writer", Version: "1"}}}, steps)
}

func TestPlanDoesNotFlap(t *testing.T) {
	unreachable := newEngine("e1", "a", "1")
	unreachable.Usable, unreachable.UnreachableFor = false, unreachableGrace-1
	s := Snapshot{Placements: placementOf(1), Engines: []Engine{unreachable, newEngine("e2", "b")}}
	require.Empty(t, Plan(s), "a short outage of an engine must not cause loads")
	s.Engines[0].UnreachableFor = unreachableGrace
	require.Len(t, Plan(s), 1)

	both := Snapshot{Placements: placementOf(1), Engines: []Engine{newEngine("e1", "a", "1"), newEngine("e2", "b", "1")}, SurplusFor: map[Version]time.Duration{v1: surplusGrace - 1}}
	require.Empty(t, Plan(both), "a short surplus must not cause an unload")
	both.SurplusFor[v1] = surplusGrace
	require.Len(t, Plan(both), 1)
	both.Engines[1].UnreachableFor = 1
	require.Empty(t, Plan(both), "an unreachable engine must not count as surplus")
}

func TestPlanLimitsLoadsAndRoles(t *testing.T) {
	s := Snapshot{Placements: placementOf(5)}
	for i := range 6 {
		s.Engines = append(s.Engines, newEngine(fmt.Sprint("e", i), "a"))
	}
	require.Len(t, Plan(s), maxConcurrentLoads)
	s.Engines[0].Pending = []engine.Order{{Kind: engine.OrderLoad, Model: "writer", Version: "1"}}
	require.Len(t, Plan(s), maxConcurrentLoads-1)

	standby := newEngine("e", "a", "1")
	standby.Role = engine.RoleStandby
	steps := Plan(Snapshot{Placements: placementOf(1, "legal"), Engines: []Engine{standby}})
	require.Len(t, steps, 2)
	require.Equal(t, "legal", steps[0].Order.Adapter)
	require.Equal(t, engine.RoleGeneral, steps[1].Order.Role)
}

func TestPlanUnloadsVersionOnlyAfterUnreferencedGrace(t *testing.T) {
	s := Snapshot{Placements: placementOf(1), Engines: []Engine{newEngine("e1", "a", "1", "0")}, UnreferencedFor: map[Version]time.Duration{{"writer", "0"}: unreferencedGrace - 1}}
	require.Empty(t, Plan(s))
	s.UnreferencedFor[Version{"writer", "0"}] = unreferencedGrace
	require.Equal(t, engine.OrderUnload, Plan(s)[0].Order.Kind)
}

// TestPlanConverges applies plans until they are empty. The placement then holds,
// which also shows that plans don't unload what earlier ones loaded without end.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(rt, "engines")
		s := Snapshot{Placements: placementOf(rapid.IntRange(1, 12).Draw(rt, "replicas"), "legal"), SurplusFor: map[Version]time.Duration{}}
		for i := range engines {
			e := newEngine(fmt.Sprint("e", i), fmt.Sprint("d", rapid.IntRange(0, 2).Draw(rt, "domain")))
			if rapid.Bool().Draw(rt, "loaded") {
				e.Loaded = []engine.Loaded{{Model: "writer", Version: "1"}}
			}
			s.Engines = append(s.Engines, e)
		}
		for round := 0; ; round++ {
			if round > 100 {
				rt.Fatal("plans do not converge")
			}
			if len(servingEngines(s, v1)) > s.Placements[0].Replicas {
				s.SurplusFor[v1] = surplusGrace
			} else {
				delete(s.SurplusFor, v1)
			}
			steps := Plan(s)
			if len(steps) == 0 {
				break
			}
			for _, step := range steps {
				apply(s.Engines, step)
			}
		}
		if got, want := len(servingEngines(s, v1)), min(engines, s.Placements[0].Replicas); got != want {
			rt.Fatalf("%d engines serve, want %d", got, want)
		}
	})
}

func apply(engines []Engine, step Step) {
	for i := range engines {
		e := &engines[i]
		switch {
		case e.Name != step.Target:
		case step.Order.Kind == engine.OrderUnload:
			e.Loaded = nil
		case step.Order.Adapter != "":
			e.Loaded[0].Adapters = append(e.Loaded[0].Adapters, step.Order.Adapter)
		default:
			e.Loaded = append(e.Loaded, engine.Loaded{Model: step.Order.Model, Version: step.Order.Version})
		}
	}
}
