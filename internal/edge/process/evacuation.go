package process

import (
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/evacuation"
	"corianderhitch/internal/edge/feed"
	"corianderhitch/internal/platform"
)

// newEvacuated returns the holder of the evacuated failure domains, nil if the deployment evacuates
// none.
func (p *Process) newEvacuated() *evacuation.Holder {
	if p.node.EvacuateWithin <= 0 {
		return nil
	}
	h := evacuation.NewHolder(p.log, p.eras.Settled)
	h.OnEnd = p.onEvacuationEnd
	return h
}

// onEvacuationEnd makes the targets of domains count as cold for the time that their services state:
// they may have become cold while they got no requests. An entry that is newer than the end of the
// evacuation says otherwise.
func (p *Process) onEvacuationEnd(domains []string, revision platform.Revision) {
	if p.warmup == nil {
		return
	}
	c, now := p.policy.Current(), bootclock.Now()
	if c == nil {
		return
	}
	for _, t := range p.targets.View().InDomains(domains) {
		if s := c.Service(t.Service); s != nil && s.ColdFor > 0 {
			p.warmup.MarkCold(t.Key(), now.Add(s.ColdFor), revision, now)
		}
	}
}

// policyPrefix returns the prefix that the feed of the configuration follows.
func (p *Process) policyPrefix() string {
	if p.evacuated == nil {
		return p.adapter.ConfigurationKey
	}
	return p.adapter.OperatorPrefix
}

func (p *Process) newPolicySink() feed.Sink {
	sink := &policySink{log: p.log, holder: p.policy, key: p.adapter.ConfigurationKey, known: p.knowAllUntil}
	if p.evacuated == nil {
		return sink
	}
	return &operatorSink{policy: sink, evacuated: p.evacuated, domainOf: p.adapter.EvacuatedDomain}
}

// isEvacuated reports whether a target is in an evacuated failure domain.
func (p *Process) isEvacuated(key string) bool { return p.targets.View().Evacuated(key) }

// evacuatedDomains returns the failure domains that a list of entries evacuates.
func evacuatedDomains(entries []platform.Entry, domainOf func(key string) (string, bool)) []string {
	var domains []string
	for i := range entries {
		if domain, ok := domainOf(entries[i].Key); ok {
			domains = append(domains, domain)
		}
	}
	return domains
}

// operatorSink puts what the operator writes in force: configurations and evacuations.
type operatorSink struct {
	policy    *policySink
	evacuated *evacuation.Holder
	domainOf  func(key string) (string, bool)
}

var _ feed.Sink = (*operatorSink)(nil)

// Replace implements feed.Sink.
func (s *operatorSink) Replace(entries []platform.Entry, revision platform.Revision, settled bool) {
	s.evacuated.Replace(evacuatedDomains(entries, s.domainOf), revision, settled && s.evacuated.Settled(revision), "list")
	s.policy.Replace(entries, revision, settled)
}

// Apply implements feed.Sink.
func (s *operatorSink) Apply(events []platform.Event, revision platform.Revision) {
	var changes []evacuation.Change
	for i := range events {
		if domain, ok := s.domainOf(events[i].Entry.Key); ok {
			changes = append(changes, evacuation.Change{Domain: domain, Evacuated: !events[i].Deleted, Revision: events[i].Entry.Revision})
		}
	}
	s.evacuated.Apply(changes, revision, "watch")
	s.policy.Apply(events, revision)
}
