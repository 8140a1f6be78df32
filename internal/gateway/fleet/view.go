package fleet

import (
	"sort"
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/document"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/rendezvous"
)

// View is what the gateway knows of the document, the targets and the hosts at one
// time. It is immutable. Index is nil until the first document has arrived.
type View struct {
	Index      *document.Index
	Targets    map[string]control.TargetState // by name
	Members    []control.Member
	ReceivedAt time.Time
}

// aliveHosts returns the sorted names of the hosts that are alive.
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

// AliveHosts returns the sorted names of the hosts that are alive.
func (v *View) AliveHosts() []string { return v.aliveHosts() }

// GatewayHosts returns the hosts with a gateway that takes requests, as far as they are known.
// This host is among them from its first document until it drains: its own agent may not have
// told the others of this gateway yet, or not run at all.
func (f *Fleet) GatewayHosts() []string {
	var hosts []string
	view := f.View()
	if view.Index != nil && !f.draining.Load() {
		hosts = append(hosts, f.options.Host)
	}
	for _, m := range view.Members {
		if m.State == control.MemberAlive && m.GatewayAddr != "" && m.Host != f.options.Host {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// OtherAgents returns the addresses of the agents of the other hosts that are alive, of those in this
// host's region if there are any.
func (f *Fleet) OtherAgents() []string {
	return control.AgentsOfOthers(f.View().Members, f.options.Host, f.options.Region)
}

// rankedHosts returns the hosts ranked by rendezvous hashing of key. Suspected hosts are
// ranked as well, though they are not asked, so that gateways and agents compute the
// same ranks.
func (v *View) rankedHosts(key string) []string {
	var hosts []string
	for _, m := range v.Members {
		if m.State == control.MemberAlive || m.State == control.MemberSuspect {
			hosts = append(hosts, m.Host)
		}
	}
	return rendezvous.Ranked(key, hosts)
}

// agentAddress returns the address of a host's agent, or "" if the host is not alive.
func (v *View) agentAddress(host string) string {
	for _, m := range v.Members {
		if m.Host == host && m.State == control.MemberAlive {
			return m.AgentAddr
		}
	}
	return ""
}

// Engines returns the engines of a region that take work and have the model version,
// and the adapter unless it is empty, loaded. They are sorted by name.
func (v *View) Engines(region, model, version, adapter string) []platform.Target {
	var found []platform.Target
	for _, t := range v.Targets {
		if takesWork(t, platform.TargetEngine) && t.Region == region && hasModel(t, model, version, adapter) {
			found = append(found, t.Target)
		}
	}
	return sortedByName(found)
}

// ServiceTargets returns the targets of a plain service that take work, those in the
// region apart from the others. Both are sorted by name.
func (v *View) ServiceTargets(service, region string) (local, remote []platform.Target) {
	for _, t := range v.Targets {
		if !takesWork(t, platform.TargetService) || t.Service != service {
			continue
		}
		if t.Region == region {
			local = append(local, t.Target)
		} else {
			remote = append(remote, t.Target)
		}
	}
	return sortedByName(local), sortedByName(remote)
}

// takesWork reports whether a target is of the kind, healthy and not leaving.
func takesWork(t control.TargetState, kind platform.TargetKind) bool {
	return t.Kind == kind && t.Healthy && !t.Left && !t.Leaving && !t.Load.Leaving
}

// hasModel reports whether an engine has the model version, and the adapter unless it
// is empty, loaded.
func hasModel(t control.TargetState, model, version, adapter string) bool {
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

func sortedByName(targets []platform.Target) []platform.Target {
	sort.Slice(targets, func(i, j int) bool { return targets[i].Name < targets[j].Name })
	return targets
}
