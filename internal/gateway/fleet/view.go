package fleet

import (
	"sort"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rendezvous"
)

// View is what the gateway knows of document, targets and hosts at an instant.
// It is immutable. Index is nil until the first document has arrived.
type View struct {
	Index      *document.Index
	Targets    map[string]control.TargetState // by name
	Members    []control.Member
	ReceivedAt time.Time
}

// aliveHosts returns the names of the hosts that take work, in order.
func (v *View) aliveHosts() []string {
	var hosts []string
	for _, m := range v.Members {
		if m.State == control.MemberAlive {
			hosts = append(hosts, m.Host)
		}
	}
	sort.Strings(hosts)
	return hosts
}

// AliveHosts returns the names of the hosts that take work, in order.
func (v *View) AliveHosts() []string { return v.aliveHosts() }

// rankedHosts returns the hosts among which agents rank the owners of pools:
// suspected ones are still counted, but not asked.
func (v *View) rankedHosts(key string) []string {
	var hosts []string
	for _, m := range v.Members {
		if m.State == control.MemberAlive || m.State == control.MemberSuspect {
			hosts = append(hosts, m.Host)
		}
	}
	return rendezvous.Ranked(key, hosts)
}

func (v *View) agentAddress(host string) string {
	for _, m := range v.Members {
		if m.Host == host && m.State == control.MemberAlive {
			return m.AgentAddr
		}
	}
	return ""
}

// Engines returns the engines of a region that may serve a model version.
func (v *View) Engines(region, model, version, adapter string) []platform.Target {
	var found []platform.Target
	for _, t := range v.Targets {
		if usable(t, platform.TargetEngine) && t.Region == region && serves(t, model, version, adapter) {
			found = append(found, t.Target)
		}
	}
	return sorted(found)
}

// ServiceTargets returns the targets of a plain service that take work. Those of
// the region come first, as near.
func (v *View) ServiceTargets(service, region string) (near, far []platform.Target) {
	for _, t := range v.Targets {
		if !usable(t, platform.TargetService) || t.Service != service {
			continue
		}
		if t.Region == region {
			near = append(near, t.Target)
		} else {
			far = append(far, t.Target)
		}
	}
	return sorted(near), sorted(far)
}

func usable(t control.TargetState, kind platform.TargetKind) bool {
	return t.Kind == kind && t.Healthy && !t.Left && !t.Leaving && !t.Load.Leaving
}

func serves(t control.TargetState, model, version, adapter string) bool {
	for _, loaded := range t.Load.Loaded {
		if loaded.Model != model || loaded.Version != version {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, a := range loaded.Adapters {
			if a == adapter {
				return true
			}
		}
	}
	return false
}

func sorted(targets []platform.Target) []platform.Target {
	sort.Slice(targets, func(i, j int) bool { return targets[i].Name < targets[j].Name })
	return targets
}
