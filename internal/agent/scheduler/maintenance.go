package scheduler

import (
	"context"
	"time"

	"corianderhitch/api/control"
)

// run brings the pools up to date with the fleet's state until ctx ends.
func (s *Scheduler) run(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.maintain(time.Now())
		}
	}
}

// maintain applies a new document and stops the pools that this host no longer serves.
// It updates the targets of the other pools and releases their orphaned slots.
func (s *Scheduler) maintain(now time.Time) {
	s.applyDocument()
	members := s.fleet.Members()
	hosts := make(map[string]control.Member, len(members))
	for _, m := range members {
		hosts[m.Host] = m
	}
	self := s.fleet.Self().Host
	rows := s.freshRows(now)
	s.mu.Lock()
	s.ownership.observe(now, members)
	s.mu.Unlock()
	for _, p := range s.allPools() {
		if rank, owner := Rank(p.key, self, members); rank >= servingRanks {
			s.dropPool(p, owner)
			continue
		}
		s.observeOwnership(p, self)
		s.sendTargets(p, rows)
		p.send(func(p *pool, now time.Time) { p.releaseOrphaned(now, hosts) })
	}
}

// observeOwnership passes on that this host has become the owner of a pool: until then,
// another one granted its requests.
func (s *Scheduler) observeOwnership(p *pool, self string) {
	s.mu.Lock()
	since, owned := s.ownership.ownedSince(p.key, self)
	taken := owned && p.ownedSince.IsZero()
	p.ownedSince = since
	s.mu.Unlock()
	if !taken {
		return
	}
	p.send(func(p *pool, now time.Time) {
		if policy, ok := p.policy.(Successor); ok {
			policy.TakeOver(now)
		}
	})
}

func (s *Scheduler) dropPool(p *pool, owner string) {
	s.mu.Lock()
	delete(s.pools, p.key)
	delete(s.engines, p.key)
	s.mu.Unlock()
	s.log.Info("Stopped serving the pool.", "pool", p.key.String(), "owner", owner)
	p.stop()
}

func (s *Scheduler) sendTargets(p *pool, rows []control.TargetState) {
	engines := poolEngines(p.key, rows)
	s.mu.Lock()
	s.engines[p.key] = engines
	s.mu.Unlock()
	p.send(func(p *pool, now time.Time) { p.setTargets(now, engines) })
}

// sendLoads sends a pool the new loads of its own engines, so that the cost of a
// report doesn't grow with the number of targets in the fleet.
func (s *Scheduler) sendLoads(p *pool, fresh []control.TargetState) {
	s.mu.Lock()
	rows := s.engines[p.key]
	if !containsAny(rows, fresh) {
		s.mu.Unlock()
		return
	}
	rows = s.overlayLoads(append([]control.TargetState(nil), rows...))
	s.mu.Unlock()
	p.send(func(p *pool, now time.Time) { p.setTargets(now, rows) })
}

func containsAny(rows, fresh []control.TargetState) bool {
	for _, f := range fresh {
		for _, r := range rows {
			if r.Name == f.Name {
				return true
			}
		}
	}
	return false
}

// freshRows returns the fleet's targets with the newer loads that their observers have
// sent.
func (s *Scheduler) freshRows(now time.Time) []control.TargetState {
	rows := s.fleet.Targets(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = s.overlayLoads(rows)
	if len(s.freshLoads) > len(rows) {
		s.pruneLoads(rows)
	}
	return rows
}

// overlayLoads replaces loads in rows by newer reports, in place. The caller holds mu.
// The models that a target has loaded come from the table, as load reports leave them
// out.
func (s *Scheduler) overlayLoads(rows []control.TargetState) []control.TargetState {
	for i, row := range rows {
		fresh, ok := s.freshLoads[row.Name]
		if !ok || !fresh.Observed.After(row.Observed) {
			continue
		}
		loaded := row.Load.Loaded
		rows[i].Load, rows[i].Observed = fresh.Load, fresh.Observed
		rows[i].Load.Loaded = loaded
		rows[i].Healthy = row.Healthy && fresh.Healthy
		rows[i].Leaving = row.Leaving || fresh.Leaving
	}
	return rows
}

// pruneLoads drops the loads of targets that are no longer listed. The caller holds
// mu.
func (s *Scheduler) pruneLoads(rows []control.TargetState) {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Name] = true
	}
	for name := range s.freshLoads {
		if !listed[name] {
			delete(s.freshLoads, name)
		}
	}
}

// applyDocument passes a new document revision on to the policies.
func (s *Scheduler) applyDocument() {
	current := s.fleet.Document()
	s.mu.Lock()
	unchanged := current.Revision == s.revision
	if !unchanged {
		s.revision = current.Revision
		s.lateClasses = lateClasses(current.Document)
	}
	s.mu.Unlock()
	if unchanged {
		return
	}
	config := policyConfig(current.Document)
	for _, p := range s.allPools() {
		p.send(func(p *pool, _ time.Time) {
			if c, ok := p.policy.(Configurer); ok {
				c.Configure(config)
			}
		})
	}
}
