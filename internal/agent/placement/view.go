package placement

import (
	"time"

	"corianderhitch/api/control"
	"corianderhitch/api/engine"
	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
)

const (
	// orderLife is how long an order counts as in progress while the engine does
	// not show its effect. The longest loads take minutes.
	orderLife = 5 * time.Minute
	// fullFor is how long an engine that had no room gets no load.
	fullFor = time.Minute
)

// view keeps what the planner needs over time: orders in progress and since
// when something has been so. Only one goroutine uses it.
type view struct {
	pending  map[string][]sent // by target
	absent   map[string]time.Time
	full     map[string]time.Time // until when
	surplus  map[Version]time.Time
	unwanted map[Version]time.Time
	read     map[string]readBack
}

type sent struct {
	order engine.Order
	at    time.Time
}

// readBack is what an engine itself said of its orders, which is newer than
// reports made before.
type readBack struct {
	state engine.OrderState
	at    time.Time
}

func newView() *view {
	return &view{
		pending:  make(map[string][]sent),
		absent:   make(map[string]time.Time),
		full:     make(map[string]time.Time),
		surplus:  make(map[Version]time.Time),
		unwanted: make(map[Version]time.Time),
		read:     make(map[string]readBack),
	}
}

// snapshot builds the planner's input.
func (w *view) snapshot(now time.Time, d *document.Document, rows []control.TargetState) Snapshot {
	s := Snapshot{
		Placements:      d.Placements,
		Referenced:      wanted(d),
		SurplusFor:      make(map[Version]time.Duration),
		UnreferencedFor: make(map[Version]time.Duration),
	}
	for _, r := range rows {
		if r.Kind == platform.TargetEngine {
			s.Engines = append(s.Engines, w.engine(now, r))
		}
	}
	w.measure(now, &s)
	return s
}

func (w *view) engine(now time.Time, r control.TargetState) Engine {
	e := Engine{
		Name:       r.Name,
		Domain:     r.Domain,
		Usable:     r.Healthy && !r.Leaving,
		Leaving:    r.Leaving,
		NoCapacity: now.Before(w.full[r.Name]),
		Running:    r.Load.Running,
		Role:       r.Load.Role,
		Loaded:     r.Load.Loaded,
	}
	if back, ok := w.read[r.Name]; ok && back.at.After(r.Load.ReportedAt) {
		e.Loaded, e.Role = back.state.Loaded, back.state.Role
	}
	if r.Healthy {
		delete(w.absent, r.Name)
	} else {
		// An engine that died may have lost the orders in progress.
		e.UnreachableFor = since(w.absent, r.Name, now) + 1
		delete(w.pending, r.Name)
	}
	e.Pending = w.inProgress(now, e)
	return e
}

// inProgress drops the orders whose effect is seen or that are too old.
func (w *view) inProgress(now time.Time, e Engine) []engine.Order {
	var kept []sent
	var orders []engine.Order
	for _, x := range w.pending[e.Name] {
		if now.Sub(x.at) < orderLife && !done(e, x.order) {
			kept = append(kept, x)
			orders = append(orders, x.order)
		}
	}
	if len(kept) == 0 {
		delete(w.pending, e.Name)
		return nil
	}
	w.pending[e.Name] = kept
	return orders
}

func done(e Engine, o engine.Order) bool {
	v := Version{o.Model, o.Version}
	switch o.Kind {
	case engine.OrderLoad:
		return loads(e, v) && (o.Adapter == "" || loadsAdapter(e, v, o.Adapter))
	case engine.OrderUnload:
		return !loads(e, v)
	case engine.OrderRole:
		return e.Role == o.Role
	}
	return true
}

// measure fills in for how long versions have been in surplus or unwanted.
func (w *view) measure(now time.Time, s *Snapshot) {
	replicas := make(map[Version]int)
	models := make(map[string]bool)
	for _, p := range s.Placements {
		replicas[Version{p.Model, p.Version}] += p.Replicas
		models[p.Model] = true
	}
	surplus, unwanted := make(map[Version]time.Time), make(map[Version]time.Time)
	for _, e := range s.Engines {
		for _, l := range e.Loaded {
			v := Version{l.Model, l.Version}
			asked, placed := replicas[v]
			switch {
			case placed && len(serving(*s, v)) > asked:
				surplus[v] = first(w.surplus, v, now)
			case !placed && models[v.Model] && !s.Referenced[v]:
				unwanted[v] = first(w.unwanted, v, now)
			}
		}
	}
	w.surplus, w.unwanted = surplus, unwanted
	for v, at := range surplus {
		s.SurplusFor[v] = now.Sub(at)
	}
	for v, at := range unwanted {
		s.UnreferencedFor[v] = now.Sub(at)
	}
}

// wanted returns the versions that some account may use.
func wanted(d *document.Document) map[Version]bool {
	versions := make(map[Version]bool)
	for _, a := range d.Accounts {
		for _, g := range a.Serves {
			versions[Version{g.Model, g.Version}] = true
		}
	}
	return versions
}

func since(m map[string]time.Time, key string, now time.Time) time.Duration {
	at, ok := m[key]
	if !ok {
		m[key] = now
		return 0
	}
	return now.Sub(at)
}

func first(m map[Version]time.Time, v Version, now time.Time) time.Time {
	if at, ok := m[v]; ok {
		return at
	}
	return now
}
