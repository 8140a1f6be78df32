package enginemodel

import (
	"net/http"
	"slices"
	"time"

	"corianderhitch/api/engine"
	"corianderhitch/api/problem"
)

// maxApplied is the number of applied orders that OrderState returns.
const maxApplied = 64

// orderProcessor executes orders and holds the models and the role that result from
// them. The slice loaded is replaced on every change and never modified in place, since
// load reports share it.
type orderProcessor struct {
	fenceMode    FenceMode
	highestFence int64
	loaded       []engine.Loaded
	role         engine.Role
	applied      []engine.Order // oldest first
	loading      []pendingLoad  // ordered by doneAt
	maxLoaded    int            // model versions; zero means no limit
	weights      *WeightStore
	weightBytes  int64
	loadTime     time.Duration
}

// pendingLoad is a model load that completes at doneAt.
type pendingLoad struct {
	order  engine.Order
	doneAt time.Time
}

func newOrderProcessor(c Config) orderProcessor {
	return orderProcessor{
		fenceMode:   c.Fence,
		loaded:      slices.Clone(c.Loaded),
		role:        c.Role,
		maxLoaded:   c.MaxLoaded,
		weights:     c.Weights,
		weightBytes: c.WeightBytes,
		loadTime:    c.LoadTime,
	}
}

// Order executes an order. A load takes time: Applied is false until the load has
// completed; callers poll by sending the same order again. Errors are of type
// *problem.Error with ran=no.
func (e *Engine) Order(now time.Time, o engine.Order) (engine.OrderResult, error) {
	e.applyDue(now)
	p := &e.orders
	if p.isApplied(o.ID) {
		return engine.OrderResult{ID: o.ID, Applied: true}, nil
	}
	if slices.ContainsFunc(p.loading, func(x pendingLoad) bool { return x.order.ID == o.ID }) {
		return engine.OrderResult{ID: o.ID}, nil
	}
	if err := p.validate(o); err != nil {
		return engine.OrderResult{}, err
	}
	p.highestFence = max(p.highestFence, o.Fence)
	if o.Kind == engine.OrderLoad && !p.serves(o.Model, o.Version, o.Adapter) {
		p.startLoad(now, o)
		p.finishLoads(now)
		return engine.OrderResult{ID: o.ID, Applied: p.isApplied(o.ID)}, nil
	}
	p.apply(o)
	return engine.OrderResult{ID: o.ID, Applied: true}, nil
}

// OrderState returns the orders that the engine has applied and the resulting state.
func (e *Engine) OrderState(now time.Time) engine.OrderState {
	e.applyDue(now)
	return engine.OrderState{
		HighestFence: e.orders.highestFence,
		Loaded:       e.orders.loaded,
		Role:         e.orders.role,
		Applied:      slices.Clone(e.orders.applied),
	}
}

// validate returns an error for an order that is invalid or, in strict mode, has an
// outdated fence.
func (p *orderProcessor) validate(o engine.Order) error {
	if p.fenceMode == FenceStrict && o.Fence < p.highestFence {
		return reject(problem.KindConflict, http.StatusConflict,
			"give up: another holder has taken over", "fence %d is below %d", o.Fence, p.highestFence)
	}
	switch o.Kind {
	case engine.OrderLoad:
		return p.validateLoad(o)
	case engine.OrderUnload:
		return validateModel(o)
	case engine.OrderRole:
		if o.Role == engine.RoleGeneral || o.Role == engine.RoleStandby {
			return nil
		}
		return invalidOrder("role %q is unknown", o.Role)
	default:
		return invalidOrder("kind %q is unknown", o.Kind)
	}
}

func validateModel(o engine.Order) error {
	if o.ID == "" || o.Model == "" || o.Version == "" {
		return invalidOrder("the order names no id, model or version")
	}
	return nil
}

func (p *orderProcessor) validateLoad(o engine.Order) error {
	if err := validateModel(o); err != nil {
		return err
	}
	count := len(p.loaded) + len(p.loading)
	if p.maxLoaded > 0 && count >= p.maxLoaded && !p.serves(o.Model, o.Version, "") {
		return reject(problem.KindOverloaded, http.StatusConflict,
			"unload another model first", "the engine holds %d of %d model versions", count, p.maxLoaded)
	}
	return nil
}

func invalidOrder(detail string, args ...any) error {
	return reject(problem.KindBadRequest, http.StatusBadRequest, "correct the order", detail, args...)
}

func (p *orderProcessor) isApplied(id string) bool {
	return slices.ContainsFunc(p.applied, func(o engine.Order) bool { return o.ID == id })
}

// startLoad starts loading the model version or adapter that o names.
func (p *orderProcessor) startLoad(now time.Time, o engine.Order) {
	doneAt := now.Add(p.loadTime)
	if p.weights != nil {
		doneAt = p.weights.ScheduleFetch(now, p.weightBytes).Add(p.loadTime)
	}
	p.loading = append(p.loading, pendingLoad{order: o, doneAt: doneAt})
	slices.SortStableFunc(p.loading, func(x, y pendingLoad) int { return x.doneAt.Compare(y.doneAt) })
}

// finishLoads applies the loads that have completed by now.
func (p *orderProcessor) finishLoads(now time.Time) {
	for len(p.loading) > 0 && !p.loading[0].doneAt.After(now) {
		o := p.loading[0].order
		p.loading = p.loading[1:]
		p.apply(o)
	}
}

func (p *orderProcessor) apply(o engine.Order) {
	switch o.Kind {
	case engine.OrderLoad:
		p.addLoaded(o)
	case engine.OrderUnload:
		p.removeLoaded(o)
	case engine.OrderRole:
		p.role = o.Role
	}
	p.applied = append(p.applied, o)
	if len(p.applied) > maxApplied {
		p.applied = p.applied[1:]
	}
}

func (p *orderProcessor) addLoaded(o engine.Order) {
	loaded := slices.Clone(p.loaded)
	i := indexLoaded(loaded, o.Model, o.Version)
	if i < 0 {
		loaded = append(loaded, engine.Loaded{Model: o.Model, Version: o.Version})
		i = len(loaded) - 1
	}
	if o.Adapter != "" && !slices.Contains(loaded[i].Adapters, o.Adapter) {
		loaded[i].Adapters = append(slices.Clone(loaded[i].Adapters), o.Adapter)
	}
	p.loaded = loaded
}

func (p *orderProcessor) removeLoaded(o engine.Order) {
	loaded := slices.Clone(p.loaded)
	i := indexLoaded(loaded, o.Model, o.Version)
	if i < 0 {
		return
	}
	if o.Adapter == "" {
		p.loaded = slices.Delete(loaded, i, i+1)
		return
	}
	adapters := slices.Clone(loaded[i].Adapters)
	loaded[i].Adapters = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
	p.loaded = loaded
}

// serves reports whether a model version is loaded and, unless adapter is empty, the
// adapter too.
func (p *orderProcessor) serves(model, version, adapter string) bool {
	i := indexLoaded(p.loaded, model, version)
	return i >= 0 && (adapter == "" || slices.Contains(p.loaded[i].Adapters, adapter))
}

func indexLoaded(loaded []engine.Loaded, model, version string) int {
	return slices.IndexFunc(loaded, func(l engine.Loaded) bool { return l.Model == model && l.Version == version })
}
