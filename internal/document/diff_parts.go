package document

import "fmt"

func (d *differ) objectives(before, after Objectives) {
	const weights = "scheduling weighs its goals anew for requests that are not placed yet"
	const bounds = "admission aims at the new bound"
	d.value("objectives/stallTime", before.StallTime, after.StallTime, weights)
	d.value("objectives/preemptions", before.Preemptions, after.Preemptions, weights)
	d.value("objectives/interTokenTail", before.InterTokenTail, after.InterTokenTail, weights)
	d.value("objectives/firstTokenMs", before.FirstTokenMS, after.FirstTokenMS, bounds)
	d.value("objectives/interTokenMs", before.InterTokenMS, after.InterTokenMS, bounds)
	d.value("objectives/overflowPercent", before.OverflowPercent, after.OverflowPercent,
		"engines are filled more or less before requests wait")
}

func (d *differ) retention(before, after Retention) {
	d.value("retention/lateAnswerHours", before.LateAnswerHours, after.LateAnswerHours,
		"late answers finished from now on are kept for the new time")
	d.value("retention/callOutcomeHours", before.CallOutcomeHours, after.CallOutcomeHours,
		"outcomes recorded from now on are kept for the new time")
}

func (d *differ) models(before, after []Model) {
	for _, p := range pairs(before, after, func(m *Model) string { return m.Name }) {
		path := "models/" + p.name
		switch {
		case p.before == nil:
			d.added(path, joined(p.after.Versions), "accounts may be granted the model")
		case p.after == nil:
			d.removed(path, joined(p.before.Versions), "new requests for the model are refused; running ones finish")
		default:
			d.model(path, p.before, p.after)
		}
	}
}

func (d *differ) model(path string, before, after *Model) {
	d.texts(path+"/versions", before.Versions, after.Versions, plain,
		"accounts may be granted the version", "the version gets no new requests; running ones finish on it")
	d.texts(path+"/adapters", before.Adapters, after.Adapters, plain,
		"accounts may be granted the adapter", "the adapter gets no new requests; running ones finish with it")
	d.value(path+"/maxTokens", before.MaxTokens, after.MaxTokens, "new requests are bounded by the new length")
	d.value(path+"/continueFromPrefix", before.ContinueFromPrefix, after.ContinueFromPrefix,
		"decides whether a generation whose engine died goes on elsewhere")
}

func (d *differ) classes(before, after []Class) {
	for _, p := range pairs(before, after, func(c *Class) string { return c.Name }) {
		path := "classes/" + p.name
		switch {
		case p.before == nil:
			d.added(path, fmt.Sprintf("priority %d", p.after.Priority), "grants may use the class")
		case p.after == nil:
			d.removed(path, fmt.Sprintf("priority %d", p.before.Priority), "no grant may use the class")
		default:
			d.value(path+"/priority", p.before.Priority, p.after.Priority, "requests not placed yet are ordered anew")
			d.value(path+"/mayArriveLate", p.before.MayArriveLate, p.after.MayArriveLate, "decides whether answers may wait and come whole")
			d.value(path+"/deadlineMs", p.before.DeadlineMS, p.after.DeadlineMS, "new requests wait at most this long for their first token")
		}
	}
}

func (d *differ) accounts(before, after []Account) {
	for _, p := range pairs(before, after, func(a *Account) string { return a.Name }) {
		path := "accounts/" + p.name
		switch {
		case p.before == nil:
			d.added(path, fmt.Sprintf("weight %v", p.after.Weight), "its keys are accepted")
		case p.after == nil:
			d.removed(path, fmt.Sprintf("weight %v", p.before.Weight), "its keys are refused; running requests finish")
		default:
			d.account(path, p.before, p.after)
		}
	}
}

func (d *differ) account(path string, before, after *Account) {
	d.texts(path+"/keyHashes", before.KeyHashes, after.KeyHashes, shortHash,
		"calls with the key are accepted", "calls with the key are refused")
	d.value(path+"/weight", before.Weight, after.Weight, "its share under contention changes")
	d.limits(path+"/limits", before.Limits, after.Limits)
	d.texts(path+"/services", before.Services, after.Services, plain,
		"the account may call the service", "the account's calls of the service are refused")
	d.grants(path+"/serves", before.Serves, after.Serves)
}

func (d *differ) limits(path string, before, after Limits) {
	const effect = "calls beyond the new limit are refused (0 means no limit)"
	d.value(path+"/requestsPerSecond", before.RequestsPerSecond, after.RequestsPerSecond, effect)
	d.value(path+"/tokensPerMinute", before.TokensPerMinute, after.TokensPerMinute, effect)
	d.value(path+"/concurrent", before.Concurrent, after.Concurrent, effect)
	d.value(path+"/queued", before.Queued, after.Queued, effect)
	d.value(path+"/pendingLate", before.PendingLate, after.PendingLate, effect)
}

func (d *differ) grants(path string, before, after []Grant) {
	for _, p := range pairs(before, after, grantName) {
		here := path + "/" + p.name
		switch {
		case p.before == nil:
			d.added(here, p.after.Version, "the account may use it")
		case p.after == nil:
			d.removed(here, p.before.Version, "the account's new requests for it are refused; running ones finish")
		default:
			d.value(here+"/version", p.before.Version, p.after.Version, "new requests use the new version; running ones keep theirs")
			d.value(here+"/class", p.before.Class, p.after.Class, "new requests get the new class")
		}
	}
}

func grantName(g *Grant) string {
	if g.Adapter == "" {
		return g.Model
	}
	return g.Model + "+" + g.Adapter
}

func (d *differ) services(before, after []Service) {
	for _, p := range pairs(before, after, func(s *Service) string { return s.Name }) {
		path := "services/" + p.name
		switch {
		case p.before == nil:
			d.added(path, fmt.Sprintf("%d routes", len(p.after.Routes)), "granted accounts may call it")
		case p.after == nil:
			d.removed(path, fmt.Sprintf("%d routes", len(p.before.Routes)), "calls of it are refused; running ones finish")
		default:
			d.routes(path, p.before.Routes, p.after.Routes)
		}
	}
}

// routeMethod is one method of a route.
type routeMethod struct {
	method string
	Route
}

// routes compares by path and method, as calls are matched.
func (d *differ) routes(path string, before, after []Route) {
	name := func(r *routeMethod) string { return r.Path + " " + r.method }
	for _, p := range pairs(byMethod(before), byMethod(after), name) {
		here := path + p.name
		switch {
		case p.before == nil:
			d.added(here, routeText(&p.after.Route), "calls are routed")
		case p.after == nil:
			d.removed(here, routeText(&p.before.Route), "calls are refused as not found")
		default:
			d.value(here+" idempotent", p.before.Idempotent, p.after.Idempotent,
				"true: calls may be retried and hedged; false: they run at most once and need an Idempotency-Key")
			d.value(here+" priority", p.before.Priority, p.after.Priority, "calls are ordered anew")
			d.value(here+" timeoutMs", p.before.TimeoutMS, p.after.TimeoutMS, "new calls are bounded by the new time")
		}
	}
}

func byMethod(routes []Route) []routeMethod {
	var list []routeMethod
	for _, r := range routes {
		for _, method := range r.Methods {
			list = append(list, routeMethod{method: method, Route: r})
		}
	}
	return list
}

func routeText(r *Route) string {
	if r.Idempotent {
		return "idempotent"
	}
	return "at most once"
}

func (d *differ) placements(before, after []Placement) {
	name := func(p *Placement) string { return p.Model + "/" + p.Version }
	for _, p := range pairs(before, after, name) {
		path := "placements/" + p.name
		switch {
		case p.before == nil:
			d.added(path, fmt.Sprintf("%d replicas", p.after.Replicas), "engines are ordered to load it")
		case p.after == nil:
			d.removed(path, fmt.Sprintf("%d replicas", p.before.Replicas), "engines are no longer ordered to hold it")
		default:
			d.value(path+"/replicas", p.before.Replicas, p.after.Replicas, "engines are ordered to load or unload it")
			d.texts(path+"/adapters", p.before.Adapters, p.after.Adapters, plain,
				"engines are ordered to load the adapter", "engines are ordered to unload the adapter")
		}
	}
}

// shortHash shows enough of a key hash to tell keys apart.
func shortHash(hash string) string {
	const shown = len(hashPrefix) + 12
	if len(hash) <= shown {
		return hash
	}
	return hash[:shown] + "..."
}
