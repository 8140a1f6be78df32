package placement

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

func idle(name, domain string, versions ...string) Engine {
	e := Engine{Name: name, Domain: domain, Usable: true, Role: engine.RoleGeneral}
	for _, v := range versions {
		e.Loaded = append(e.Loaded, engine.Loaded{Model: "writer", Version: v})
	}
	return e
}

func place(replicas int, adapters ...string) []document.Placement {
	return []document.Placement{{Model: "writer", Version: "1", Replicas: replicas, Adapters: adapters}}
}

func TestPlanLoadsWhereADomainLacksTheVersion(t *testing.T) {
	s := Snapshot{Placements: place(2), Engines: []Engine{idle("e1", "a", "1"), idle("e2", "a"), idle("e3", "b")}}
	steps := Plan(s)
	require.Equal(t, []Step{{Target: "e3", Order: engine.Order{Kind: engine.OrderLoad, Model: "writer", Version: "1"}}}, steps)
}

func TestPlanDoesNotFlap(t *testing.T) {
	gone := idle("e1", "a", "1")
	gone.Usable, gone.UnreachableFor = false, absentGrace-1
	s := Snapshot{Placements: place(1), Engines: []Engine{gone, idle("e2", "b")}}
	require.Empty(t, Plan(s), "a short absence moves nothing")
	s.Engines[0].UnreachableFor = absentGrace
	require.Len(t, Plan(s), 1)

	both := Snapshot{Placements: place(1), Engines: []Engine{idle("e1", "a", "1"), idle("e2", "b", "1")}, SurplusFor: map[Version]time.Duration{v1: surplusGrace - 1}}
	require.Empty(t, Plan(both), "a short surplus moves nothing")
	both.SurplusFor[v1] = surplusGrace
	require.Len(t, Plan(both), 1)
	both.Engines[1].UnreachableFor = 1
	require.Empty(t, Plan(both), "an engine that does not answer is no surplus")
}

func TestPlanLimitsLoadsAndRoles(t *testing.T) {
	s := Snapshot{Placements: place(5)}
	for i := range 6 {
		s.Engines = append(s.Engines, idle(fmt.Sprint("e", i), "a"))
	}
	require.Len(t, Plan(s), maxLoads)
	s.Engines[0].Pending = []engine.Order{{Kind: engine.OrderLoad, Model: "writer", Version: "1"}}
	require.Len(t, Plan(s), maxLoads-1)

	standby := idle("e", "a", "1")
	standby.Role = engine.RoleStandby
	steps := Plan(Snapshot{Placements: place(1, "legal"), Engines: []Engine{standby}})
	require.Len(t, steps, 2)
	require.Equal(t, "legal", steps[0].Order.Adapter)
	require.Equal(t, engine.RoleGeneral, steps[1].Order.Role)
}

func TestPlanUnloadsOnlyWhatIsLongUnwanted(t *testing.T) {
	s := Snapshot{Placements: place(1), Engines: []Engine{idle("e1", "a", "1", "0")}, UnreferencedFor: map[Version]time.Duration{{"writer", "0"}: unwantedGrace - 1}}
	require.Empty(t, Plan(s))
	s.UnreferencedFor[Version{"writer", "0"}] = unwantedGrace
	require.Equal(t, engine.OrderUnload, Plan(s)[0].Order.Kind)
}

// TestPlanConverges applies plans until none is left: the placement then holds,
// and a plan never unloads what it loaded.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(1, 12).Draw(rt, "engines")
		s := Snapshot{Placements: place(rapid.IntRange(1, 12).Draw(rt, "replicas"), "legal"), SurplusFor: map[Version]time.Duration{}}
		for i := range engines {
			e := idle(fmt.Sprint("e", i), fmt.Sprint("d", rapid.IntRange(0, 2).Draw(rt, "domain")))
			if rapid.Bool().Draw(rt, "loaded") {
				e.Loaded = []engine.Loaded{{Model: "writer", Version: "1"}}
			}
			s.Engines = append(s.Engines, e)
		}
		for round := 0; ; round++ {
			if round > 100 {
				rt.Fatal("plans do not end")
			}
			if len(serving(s, v1)) > s.Placements[0].Replicas {
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
		if got, want := len(serving(s, v1)), min(engines, s.Placements[0].Replicas); got != want {
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
