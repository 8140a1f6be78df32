package scheduler

import (
	"context"
	"time"

	"corianderhitch/api/control"
)

// run keeps the pools up with the tables until ctx ends.
func (s *Scheduler) run(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.upkeep(time.Now())
		}
	}
}

func (s *Scheduler) upkeep(now time.Time) {
	s.followDocument()
	members := s.fleet.Members()
	hosts := make(map[string]control.Member, len(members))
	for _, m := range members {
		hosts[m.Host] = m
	}
	self := s.fleet.Self().Host
	rows := s.freshRows(now)
	for _, p := range s.all() {
		if rank, owner := Rank(p.key, self, members); rank >= ranksServed {
			s.dropPool(p, owner)
			continue
		}
		s.sendTargets(p, rows)
		p.send(func(p *pool, now time.Time) { p.expire(now, hosts) })
	}
}

func (s *Scheduler) dropPool(p *pool, owner string) {
	s.mu.Lock()
	delete(s.pools, p.key)
	delete(s.served, p.key)
	s.mu.Unlock()
	s.log.Info("Pool handed over.", "pool", p.key.String(), "owner", owner)
	p.stop()
}

func (s *Scheduler) sendTargets(p *pool, rows []control.TargetState) {
	serving := engines(p.key, rows)
	s.mu.Lock()
	s.served[p.key] = serving
	s.mu.Unlock()
	p.send(func(p *pool, now time.Time) { p.setTargets(now, serving) })
}

// sendLoads gives a pool the fresh loads of its own engines, so that the cost of
// a report does not grow with the number of targets in the fleet.
func (s *Scheduler) sendLoads(p *pool, fresh []control.TargetState) {
	s.mu.Lock()
	rows := s.served[p.key]
	if !anyOf(rows, fresh) {
		s.mu.Unlock()
		return
	}
	rows = s.overlay(append([]control.TargetState(nil), rows...))
	s.mu.Unlock()
	p.send(func(p *pool, now time.Time) { p.setTargets(now, rows) })
}

func anyOf(rows, fresh []control.TargetState) bool {
	for _, f := range fresh {
		for _, r := range rows {
			if r.Name == f.Name {
				return true
			}
		}
	}
	return false
}

// freshRows returns the table's rows with the loads that their observers sent.
func (s *Scheduler) freshRows(now time.Time) []control.TargetState {
	rows := s.fleet.Targets(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = s.overlay(rows)
	if len(s.loads) > len(rows) {
		s.dropLoads(rows)
	}
	return rows
}

func (s *Scheduler) overlay(rows []control.TargetState) []control.TargetState {
	for i, row := range rows {
		fresh, ok := s.loads[row.Name]
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

func (s *Scheduler) dropLoads(rows []control.TargetState) {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Name] = true
	}
	for name := range s.loads {
		if !listed[name] {
			delete(s.loads, name)
		}
	}
}

func (s *Scheduler) followDocument() {
	held := s.fleet.Document()
	s.mu.Lock()
	same := held.Revision == s.revision
	if !same {
		s.revision = held.Revision
		s.late = lateClasses(held.Document)
	}
	s.mu.Unlock()
	if same {
		return
	}
	config := configOf(held.Document)
	for _, p := range s.all() {
		p.send(func(p *pool, _ time.Time) {
			if c, ok := p.policy.(Configurer); ok {
				c.Configure(config)
			}
		})
	}
}
