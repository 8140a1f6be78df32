package drill

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/drill/deployment"
	"corianderhitch/internal/drill/record"
)

// targetSet starts and ends targets.
type targetSet struct {
	fleet   *fleet
	factory Targets

	mu     sync.Mutex
	active map[string][]Target // guarded by mu; by service; those that don't leave
	all    []Target            // guarded by mu
}

func newTargetSet(f *fleet) *targetSet {
	s := &targetSet{fleet: f, factory: f.platform.NewTargets(f.deployment, f.options.Seed, f.log), active: make(map[string][]Target)}
	s.factory.OnCrash(func(id string) { s.crash(id, minCrashRestart) })
	s.factory.OnFall(s.fall)
	return s
}

// startAll starts the targets that the deployment lists.
func (s *targetSet) startAll() error {
	for i := range s.fleet.deployment.Services {
		service := &s.fleet.deployment.Services[i]
		for _, domain := range s.fleet.deployment.Domains {
			for range service.Targets[domain.Name] {
				if err := s.start(service, domain.Name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// start starts a target and registers it.
func (s *targetSet) start(service *deployment.Service, domain string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrapf(err, "listener of a target of %s", service.Name)
	}
	s.mu.Lock()
	t := s.factory.Start(fmt.Sprintf("i-%04d", len(s.all)+1), service, domain, listener)
	s.all = append(s.all, t)
	s.mu.Unlock()
	s.fleet.log.Target(record.Target{ID: t.ID(), Service: service.Name, Domain: domain, Started: time.Now()})
	if err := s.fleet.store.PutTarget(t, service, false); err != nil {
		return eris.Wrapf(err, "entry of %s", t.ID())
	}
	s.mu.Lock()
	s.active[service.Name] = append(s.active[service.Name], t)
	s.mu.Unlock()
	return nil
}

// take removes up to n random targets of a service from the active ones, and leaves at least
// one.
func (s *targetSet) take(r *rand.Rand, service string, n int) []Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Target
	for ; n > 0 && len(s.active[service]) > 1; n-- {
		list := s.active[service]
		i := r.IntN(len(list))
		out = append(out, list[i])
		s.active[service] = append(list[:i:i], list[i+1:]...)
	}
	return out
}

// count returns the number of active targets of a service.
func (s *targetSet) count(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active[service])
}

// leave announces that a target leaves.
func (s *targetSet) leave(t Target, service *deployment.Service) {
	if err := s.fleet.store.PutTarget(t, service, true); err != nil {
		s.fleet.logger.Error("drill: entry of a leaving target", "target", t.ID(), "error", err)
	}
	t.Leave()
	s.fleet.log.UpdateTarget(t.ID(), func(r *record.Target) { r.Leaving = time.Now() })
}

// limit makes a target name a limit; 0 ends it.
func (s *targetSet) limit(t Target, perSecond float64) {
	s.fleet.log.UpdateTarget(t.ID(), func(r *record.Target) {
		now := time.Now()
		if n := len(r.Limits); n > 0 && r.Limits[n-1].To.IsZero() {
			r.Limits[n-1].To = now
		}
		if perSecond > 0 {
			r.Limits = append(r.Limits, record.Limit{Span: record.Span{From: now}, PerSecond: perSecond})
		}
	})
	t.Limit(perSecond)
}

// end ends a target and removes its entry.
func (s *targetSet) end(t Target, reset, crashed bool) {
	s.fleet.log.UpdateTarget(t.ID(), func(r *record.Target) { r.Ended, r.Crashed = time.Now(), crashed })
	t.End(reset)
	if err := s.fleet.store.RemoveTarget(t); err != nil {
		s.fleet.logger.Error("drill: entry of an ended target", "target", t.ID(), "error", err)
	}
}

func (s *targetSet) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.all {
		t.End(false)
	}
}

// minCrashRestart is after which time a target that a request crashed starts again.
const minCrashRestart = 3200 * time.Millisecond

// crash ends a target that requests crash, and starts it again some seconds later.
func (s *targetSet) crash(id string, restart time.Duration) {
	t, service := s.takeByID(id)
	if t == nil {
		return
	}
	s.fleet.logger.Info("drill: target crashed by requests", "target", id)
	s.end(t, true, true)
	go s.fleet.join(s.fleet.ctx, service, t.Domain(), restart)
}

// fall ends a brittle target, and starts it again some seconds later.
func (s *targetSet) fall(id string) {
	s.fleet.log.UpdateTarget(id, func(r *record.Target) { r.Fell = true })
	s.crash(id, minRestart)
}

// takeByID removes a target from the active ones. It returns nil if it isn't active.
func (s *targetSet) takeByID(id string) (Target, *deployment.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, list := range s.active {
		for i, t := range list {
			if t.ID() == id {
				s.active[service] = append(list[:i:i], list[i+1:]...)
				return t, s.fleet.deployment.Service(service)
			}
		}
	}
	return nil, nil
}

// some returns up to n random active targets of a service.
func (s *targetSet) some(r *rand.Rand, service string, n int) []Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.active[service]
	var out []Target
	for _, i := range r.Perm(len(list))[:min(n, len(list))] {
		out = append(out, list[i])
	}
	return out
}
