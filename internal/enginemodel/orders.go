package enginemodel

import (
	"net/http"
	"slices"
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
)

// maxApplied is the number of orders kept for reading back.
const maxApplied = 64

// orderBook holds what the engine was ordered to serve. The slice loaded is
// replaced on every change, never changed in place, since reports share it.
type orderBook struct {
	fence    FenceMode
	highest  int64
	loaded   []engine.Loaded
	role     engine.Role
	applied  []engine.Order // oldest first
	loading  []pendingLoad  // in the order of their ends
	limit    int            // model versions; zero means any number
	weights  *WeightStore
	bytes    int64
	loadTime time.Duration
}

// pendingLoad is a load that ends at done.
type pendingLoad struct {
	order engine.Order
	done  time.Time
}

func newOrderBook(c Config) orderBook {
	return orderBook{
		fence:    c.Fence,
		loaded:   slices.Clone(c.Loaded),
		role:     c.Role,
		limit:    c.MaxLoaded,
		weights:  c.Weights,
		bytes:    c.WeightBytes,
		loadTime: c.LoadTime,
	}
}

// Order carries out an order. A load takes time: Applied is false until it has
// ended, and sending the same order again tells. An error is a *problem.Error
// with ran=no.
func (e *Engine) Order(now time.Time, o engine.Order) (engine.OrderResult, error) {
	e.advance(now)
	b := &e.orders
	if b.isApplied(o.ID) {
		return engine.OrderResult{ID: o.ID, Applied: true}, nil
	}
	if slices.ContainsFunc(b.loading, func(x pendingLoad) bool { return x.order.ID == o.ID }) {
		return engine.OrderResult{ID: o.ID}, nil
	}
	if err := b.check(o); err != nil {
		return engine.OrderResult{}, err
	}
	b.highest = max(b.highest, o.Fence)
	if o.Kind == engine.OrderLoad && !b.serves(o.Model, o.Version, o.Adapter) {
		b.load(now, o)
		b.advance(now)
		return engine.OrderResult{ID: o.ID, Applied: b.isApplied(o.ID)}, nil
	}
	b.apply(o)
	return engine.OrderResult{ID: o.ID, Applied: true}, nil
}

// OrderState returns what the engine has applied.
func (e *Engine) OrderState(now time.Time) engine.OrderState {
	e.advance(now)
	return engine.OrderState{
		HighestFence: e.orders.highest,
		Loaded:       e.orders.loaded,
		Role:         e.orders.role,
		Applied:      slices.Clone(e.orders.applied),
	}
}

func (b *orderBook) check(o engine.Order) error {
	if b.fence == FenceStrict && o.Fence < b.highest {
		return refuse(problem.KindConflict, http.StatusConflict,
			"give up: another holder has taken over", "fence %d is below %d", o.Fence, b.highest)
	}
	switch o.Kind {
	case engine.OrderLoad:
		return b.checkLoad(o)
	case engine.OrderUnload:
		return checkModel(o)
	case engine.OrderRole:
		if o.Role == engine.RoleGeneral || o.Role == engine.RoleStandby {
			return nil
		}
		return badOrder("role %q is unknown", o.Role)
	default:
		return badOrder("kind %q is unknown", o.Kind)
	}
}

func checkModel(o engine.Order) error {
	if o.ID == "" || o.Model == "" || o.Version == "" {
		return badOrder("the order names no id, model or version")
	}
	return nil
}

func (b *orderBook) checkLoad(o engine.Order) error {
	if err := checkModel(o); err != nil {
		return err
	}
	held := len(b.loaded) + len(b.loading)
	if b.limit > 0 && held >= b.limit && !b.serves(o.Model, o.Version, "") {
		return refuse(problem.KindOverloaded, http.StatusConflict,
			"unload another model first", "the engine holds %d of %d model versions", held, b.limit)
	}
	return nil
}

func badOrder(detail string, args ...any) error {
	return refuse(problem.KindBadRequest, http.StatusBadRequest, "correct the order", detail, args...)
}

func (b *orderBook) isApplied(id string) bool {
	return slices.ContainsFunc(b.applied, func(o engine.Order) bool { return o.ID == id })
}

// load begins a load.
func (b *orderBook) load(now time.Time, o engine.Order) {
	done := now.Add(b.loadTime)
	if b.weights != nil {
		done = b.weights.ScheduleFetch(now, b.bytes).Add(b.loadTime)
	}
	b.loading = append(b.loading, pendingLoad{order: o, done: done})
	slices.SortStableFunc(b.loading, func(x, y pendingLoad) int { return x.done.Compare(y.done) })
}

// advance applies the loads that have ended by now.
func (b *orderBook) advance(now time.Time) {
	for len(b.loading) > 0 && !b.loading[0].done.After(now) {
		o := b.loading[0].order
		b.loading = b.loading[1:]
		b.apply(o)
	}
}

func (b *orderBook) apply(o engine.Order) {
	switch o.Kind {
	case engine.OrderLoad:
		b.add(o)
	case engine.OrderUnload:
		b.remove(o)
	case engine.OrderRole:
		b.role = o.Role
	}
	b.applied = append(b.applied, o)
	if len(b.applied) > maxApplied {
		b.applied = b.applied[1:]
	}
}

func (b *orderBook) add(o engine.Order) {
	loaded := slices.Clone(b.loaded)
	i := indexLoaded(loaded, o.Model, o.Version)
	if i < 0 {
		loaded = append(loaded, engine.Loaded{Model: o.Model, Version: o.Version})
		i = len(loaded) - 1
	}
	if o.Adapter != "" && !slices.Contains(loaded[i].Adapters, o.Adapter) {
		loaded[i].Adapters = append(slices.Clone(loaded[i].Adapters), o.Adapter)
	}
	b.loaded = loaded
}

func (b *orderBook) remove(o engine.Order) {
	loaded := slices.Clone(b.loaded)
	i := indexLoaded(loaded, o.Model, o.Version)
	if i < 0 {
		return
	}
	if o.Adapter == "" {
		b.loaded = slices.Delete(loaded, i, i+1)
		return
	}
	adapters := slices.Clone(loaded[i].Adapters)
	loaded[i].Adapters = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
	b.loaded = loaded
}

// serves reports whether a model version, with its adapter if any, is loaded.
func (b *orderBook) serves(model, version, adapter string) bool {
	i := indexLoaded(b.loaded, model, version)
	return i >= 0 && (adapter == "" || slices.Contains(b.loaded[i].Adapters, adapter))
}

func indexLoaded(loaded []engine.Loaded, model, version string) int {
	return slices.IndexFunc(loaded, func(l engine.Loaded) bool { return l.Model == model && l.Version == version })
}
