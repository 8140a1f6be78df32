package modelplacement

import (
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

const (
	// maxOrderAge is how long an order counts as pending while its effect isn't
	// visible. The longest loads take minutes.
	maxOrderAge = 5 * time.Minute
	// noCapacityPeriod is how long an engine that reached its limit of model versions
	// gets no loads.
	noCapacityPeriod = time.Minute
)

// planState is what the planner must remember between rounds: pending orders, and
// since when engines and versions have been in their present state. Only one goroutine
// uses it.
type planState struct {
	pending           map[string][]sentOrder // by target
	unreachableSince  map[string]time.Time   // by target
	noCapacityUntil   map[string]time.Time   // by target
	surplusSince      map[Version]time.Time
	unreferencedSince map[Version]time.Time
	readBacks         map[string]readBackState // by target
}

// sentOrder is an order that an engine has accepted.
type sentOrder struct {
	order engine.Order
	at    time.Time
}

// readBackState is an engine's own answer about its orders. It is newer than load
// reports made before at.
type readBackState struct {
	state engine.OrderState
	at    time.Time
}

func newPlanState() *planState {
	return &planState{
		pending:           make(map[string][]sentOrder),
		unreachableSince:  make(map[string]time.Time),
		noCapacityUntil:   make(map[string]time.Time),
		surplusSince:      make(map[Version]time.Time),
		unreferencedSince: make(map[Version]time.Time),
		readBacks:         make(map[string]readBackState),
	}
}

// snapshot builds the planner's input and updates the state.
func (st *planState) snapshot(now time.Time, d *document.Document, rows []control.TargetState) Snapshot {
	s := Snapshot{
		Placements:      d.Placements,
		Referenced:      referencedVersions(d),
		SurplusFor:      make(map[Version]time.Duration),
		UnreferencedFor: make(map[Version]time.Duration),
	}
	for _, r := range rows {
		if r.Kind == platform.TargetEngine {
			s.Engines = append(s.Engines, st.engine(now, r))
		}
	}
	st.measureDurations(now, &s)
	return s
}

// engine returns the planner's view of the engine in row r, and updates what the state
// holds about it.
func (st *planState) engine(now time.Time, r control.TargetState) Engine {
	e := Engine{
		Name:       r.Name,
		Domain:     r.Domain,
		Usable:     r.Healthy && !r.Leaving,
		Leaving:    r.Leaving,
		NoCapacity: now.Before(st.noCapacityUntil[r.Name]),
		Running:    r.Load.Running,
		Role:       r.Load.Role,
		Loaded:     r.Load.Loaded,
	}
	if back, ok := st.readBacks[r.Name]; ok && back.at.After(r.Load.ReportedAt) {
		e.Loaded, e.Role = back.state.Loaded, back.state.Role
	}
	if r.Healthy {
		delete(st.unreachableSince, r.Name)
	} else {
		// An engine that crashed may have lost its pending orders.
		e.UnreachableFor = elapsedSince(st.unreachableSince, r.Name, now) + 1
		delete(st.pending, r.Name)
	}
	e.Pending = st.pendingOrders(now, e)
	return e
}

// pendingOrders returns an engine's pending orders. It drops those whose effect is
// visible and those older than maxOrderAge.
func (st *planState) pendingOrders(now time.Time, e Engine) []engine.Order {
	var kept []sentOrder
	var orders []engine.Order
	for _, sent := range st.pending[e.Name] {
		if now.Sub(sent.at) < maxOrderAge && !isApplied(e, sent.order) {
			kept = append(kept, sent)
			orders = append(orders, sent.order)
		}
	}
	if len(kept) == 0 {
		delete(st.pending, e.Name)
		return nil
	}
	st.pending[e.Name] = kept
	return orders
}

// isApplied reports whether an order's effect is visible on an engine.
func isApplied(e Engine, o engine.Order) bool {
	v := Version{o.Model, o.Version}
	switch o.Kind {
	case engine.OrderLoad:
		return hasLoaded(e, v) && (o.Adapter == "" || hasAdapter(e, v, o.Adapter))
	case engine.OrderUnload:
		return !hasLoaded(e, v)
	case engine.OrderRole:
		return e.Role == o.Role
	}
	return true
}

// measureDurations fills in for how long versions have been in surplus or
// unreferenced.
func (st *planState) measureDurations(now time.Time, s *Snapshot) {
	replicas := make(map[Version]int)
	models := make(map[string]bool)
	for _, p := range s.Placements {
		replicas[Version{p.Model, p.Version}] += p.Replicas
		models[p.Model] = true
	}
	surplus, unreferenced := make(map[Version]time.Time), make(map[Version]time.Time)
	for _, e := range s.Engines {
		for _, l := range e.Loaded {
			v := Version{l.Model, l.Version}
			wanted, placed := replicas[v]
			switch {
			case placed && len(servingEngines(*s, v)) > wanted:
				surplus[v] = firstSeen(st.surplusSince, v, now)
			case !placed && models[v.Model] && !s.Referenced[v]:
				unreferenced[v] = firstSeen(st.unreferencedSince, v, now)
			}
		}
	}
	st.surplusSince, st.unreferencedSince = surplus, unreferenced
	for v, at := range surplus {
		s.SurplusFor[v] = now.Sub(at)
	}
	for v, at := range unreferenced {
		s.UnreferencedFor[v] = now.Sub(at)
	}
}

// referencedVersions returns the versions that some client account may use.
func referencedVersions(d *document.Document) map[Version]bool {
	versions := make(map[Version]bool)
	for _, a := range d.Accounts {
		for _, g := range a.Serves {
			versions[Version{g.Model, g.Version}] = true
		}
	}
	return versions
}

// elapsedSince returns the time since key was first recorded in m, and records it if
// needed.
func elapsedSince(m map[string]time.Time, key string, now time.Time) time.Duration {
	at, ok := m[key]
	if !ok {
		m[key] = now
		return 0
	}
	return now.Sub(at)
}

// firstSeen returns the time that m holds for v, or now.
func firstSeen(m map[Version]time.Time, v Version, now time.Time) time.Time {
	if at, ok := m[v]; ok {
		return at
	}
	return now
}
