package document

import "fmt"

func (d *differ) compareObjectives(before, after Objectives) {
	const weights = "scheduling applies the new weight to requests that are not placed yet"
	const bounds = "admission aims at the new bound"
	d.compareValue("objectives/stallTime", before.StallTime, after.StallTime, weights)
	d.compareValue("objectives/preemptions", before.Preemptions, after.Preemptions, weights)
	d.compareValue("objectives/interTokenTail", before.InterTokenTail, after.InterTokenTail, weights)
	d.compareValue("objectives/firstTokenMs", before.FirstTokenMS, after.FirstTokenMS, bounds)
	d.compareValue("objectives/interTokenMs", before.InterTokenMS, after.InterTokenMS, bounds)
	d.compareValue("objectives/overflowPercent", before.OverflowPercent, after.OverflowPercent,
		"engines are filled more or less before requests wait")
}

func (d *differ) compareRetention(before, after Retention) {
	d.compareValue("retention/lateAnswerHours", before.LateAnswerHours, after.LateAnswerHours,
		"late answers finished from now on are kept for the new time")
	d.compareValue("retention/callOutcomeHours", before.CallOutcomeHours, after.CallOutcomeHours,
		"outcomes recorded from now on are kept for the new time")
}

func (d *differ) compareModels(before, after []Model) {
	for _, p := range matchByName(before, after, func(m *Model) string { return m.Name }) {
		path := "models/" + p.name
		switch {
		case p.before == nil:
			d.recordAdded(path, formatList(p.after.Versions), "accounts may be granted the model")
		case p.after == nil:
			d.recordRemoved(path, formatList(p.before.Versions), "new requests for the model are refused; running ones finish")
		default:
			d.compareModel(path, p.before, p.after)
		}
	}
}

func (d *differ) compareModel(path string, before, after *Model) {
	d.compareSets(path+"/versions", before.Versions, after.Versions, identity,
		"accounts may be granted the version", "the version gets no new requests; running ones finish on it")
	d.compareSets(path+"/adapters", before.Adapters, after.Adapters, identity,
		"accounts may be granted the adapter", "the adapter gets no new requests; running ones finish with it")
	d.compareValue(path+"/maxTokens", before.MaxTokens, after.MaxTokens, "new requests are bounded by the new length")
	d.compareValue(path+"/continueFromPrefix", before.ContinueFromPrefix, after.ContinueFromPrefix,
		"decides whether another engine may continue a generation whose engine crashed")
}

func (d *differ) compareClasses(before, after []Class) {
	for _, p := range matchByName(before, after, func(c *Class) string { return c.Name }) {
		path := "classes/" + p.name
		switch {
		case p.before == nil:
			d.recordAdded(path, fmt.Sprintf("priority %d", p.after.Priority), "grants may use the class")
		case p.after == nil:
			d.recordRemoved(path, fmt.Sprintf("priority %d", p.before.Priority), "no grant may use the class")
		default:
			d.compareValue(path+"/priority", p.before.Priority, p.after.Priority, "requests not placed yet are ordered by the new priority")
			d.compareValue(path+"/mayArriveLate", p.before.MayArriveLate, p.after.MayArriveLate, "decides whether answers may be delivered late")
			d.compareValue(path+"/deadlineMs", p.before.DeadlineMS, p.after.DeadlineMS, "new requests wait at most this long for their first token")
		}
	}
}

func (d *differ) compareAccounts(before, after []Account) {
	for _, p := range matchByName(before, after, func(a *Account) string { return a.Name }) {
		path := "accounts/" + p.name
		switch {
		case p.before == nil:
			d.recordAdded(path, fmt.Sprintf("weight %v", p.after.Weight), "its keys are accepted")
		case p.after == nil:
			d.recordRemoved(path, fmt.Sprintf("weight %v", p.before.Weight), "its keys are refused; running requests finish")
		default:
			d.compareAccount(path, p.before, p.after)
		}
	}
}

func (d *differ) compareAccount(path string, before, after *Account) {
	d.compareSets(path+"/keyHashes", before.KeyHashes, after.KeyHashes, shortenHash,
		"calls with the key are accepted", "calls with the key are refused")
	d.compareValue(path+"/weight", before.Weight, after.Weight, "its share under contention changes")
	d.compareLimits(path+"/limits", before.Limits, after.Limits)
	d.compareSets(path+"/services", before.Services, after.Services, identity,
		"the account may call the service", "the account's calls of the service are refused")
	d.compareGrants(path+"/serves", before.Serves, after.Serves)
}

func (d *differ) compareLimits(path string, before, after Limits) {
	const effect = "calls beyond the new limit are refused (0 means no limit)"
	d.compareValue(path+"/requestsPerSecond", before.RequestsPerSecond, after.RequestsPerSecond, effect)
	d.compareValue(path+"/tokensPerMinute", before.TokensPerMinute, after.TokensPerMinute, effect)
	d.compareValue(path+"/concurrent", before.Concurrent, after.Concurrent, effect)
	d.compareValue(path+"/queued", before.Queued, after.Queued, effect)
	d.compareValue(path+"/pendingLate", before.PendingLate, after.PendingLate, effect)
}

func (d *differ) compareGrants(path string, before, after []Grant) {
	for _, p := range matchByName(before, after, grantName) {
		grantPath := path + "/" + p.name
		switch {
		case p.before == nil:
			d.recordAdded(grantPath, p.after.Version, "the account may use it")
		case p.after == nil:
			d.recordRemoved(grantPath, p.before.Version, "the account's new requests for it are refused; running ones finish")
		default:
			d.compareValue(grantPath+"/version", p.before.Version, p.after.Version, "new requests use the new version; running ones keep theirs")
			d.compareValue(grantPath+"/class", p.before.Class, p.after.Class, "new requests get the new class")
		}
	}
}

func grantName(g *Grant) string {
	if g.Adapter == "" {
		return g.Model
	}
	return g.Model + "+" + g.Adapter
}

func (d *differ) compareServices(before, after []Service) {
	for _, p := range matchByName(before, after, func(s *Service) string { return s.Name }) {
		path := "services/" + p.name
		switch {
		case p.before == nil:
			d.recordAdded(path, fmt.Sprintf("%d routes", len(p.after.Routes)), "granted accounts may call it")
		case p.after == nil:
			d.recordRemoved(path, fmt.Sprintf("%d routes", len(p.before.Routes)), "calls of it are refused; running ones finish")
		default:
			d.compareRoutes(path, p.before.Routes, p.after.Routes)
		}
	}
}

// routeMethod is a route restricted to one of its methods.
type routeMethod struct {
	method string
	Route
}

// compareRoutes compares by path and method, because calls are matched by both.
func (d *differ) compareRoutes(path string, before, after []Route) {
	name := func(r *routeMethod) string { return r.Path + " " + r.method }
	for _, p := range matchByName(splitByMethod(before), splitByMethod(after), name) {
		routePath := path + p.name
		switch {
		case p.before == nil:
			d.recordAdded(routePath, routeSemantics(&p.after.Route), "calls are routed")
		case p.after == nil:
			d.recordRemoved(routePath, routeSemantics(&p.before.Route), "calls are refused as not found")
		default:
			d.compareValue(routePath+" idempotent", p.before.Idempotent, p.after.Idempotent,
				"true: calls may be retried and hedged; false: they run at most once and need an Idempotency-Key")
			d.compareValue(routePath+" priority", p.before.Priority, p.after.Priority, "calls are ordered by the new priority")
			d.compareValue(routePath+" timeoutMs", p.before.TimeoutMS, p.after.TimeoutMS, "new calls are bounded by the new time")
		}
	}
}

func splitByMethod(routes []Route) []routeMethod {
	var list []routeMethod
	for _, r := range routes {
		for _, method := range r.Methods {
			list = append(list, routeMethod{method: method, Route: r})
		}
	}
	return list
}

func routeSemantics(r *Route) string {
	if r.Idempotent {
		return "idempotent"
	}
	return "at most once"
}

// comparePlacements records the differences between the placements of two documents.
func (d *differ) comparePlacements(before, after []Placement) {
	name := func(p *Placement) string { return p.Model + "/" + p.Version }
	for _, p := range matchByName(before, after, name) {
		path := "placements/" + p.name
		switch {
		case p.before == nil:
			d.recordAdded(path, fmt.Sprintf("%d replicas", p.after.Replicas), "engines are ordered to load it")
		case p.after == nil:
			d.recordRemoved(path, fmt.Sprintf("%d replicas", p.before.Replicas), "engines are no longer ordered to hold it")
		default:
			d.compareValue(path+"/replicas", p.before.Replicas, p.after.Replicas, "engines are ordered to load or unload it")
			d.compareSets(path+"/adapters", p.before.Adapters, p.after.Adapters, identity,
				"engines are ordered to load the adapter", "engines are ordered to unload the adapter")
		}
	}
}

// shortenHash returns the start of a key hash, which is enough to distinguish keys.
func shortenHash(hash string) string {
	const shownBytes = len(hashPrefix) + 12
	if len(hash) <= shownBytes {
		return hash
	}
	return hash[:shownBytes] + "..."
}
