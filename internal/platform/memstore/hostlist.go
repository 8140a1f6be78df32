package memstore

import (
	"context"
	"slices"
	"time"

	"corianderhitch/internal/platform"
)

// hostList keeps the versions of the platform's list of targets (host list) that
// readers may still see because of Fault.HostListLag, oldest first.
type hostList struct{ versions []hostVersion }

type hostVersion struct {
	since   time.Time
	targets []platform.Target
}

// Targets implements platform.HostList. Changes of the list become visible after
// Fault.HostListLag.
func (s *Store) Targets(ctx context.Context) ([]platform.Target, error) {
	var targets []platform.Target
	err := s.read(ctx, noKey, func() error {
		targets = s.hosts.listAt(s.options.Now().Add(-s.fault.HostListLag))
		return nil
	})
	return targets, err
}

// SetTargets replaces the platform's list of targets (host list).
func (s *Store) SetTargets(targets []platform.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setTargetsLocked(slices.Clone(targets))
}

// PutTarget adds a target to the platform's list of targets (host list), or replaces
// the entry of the same name.
func (s *Store) PutTarget(t platform.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.hosts.latest()
	i := slices.IndexFunc(targets, func(x platform.Target) bool { return x.Name == t.Name })
	if i < 0 {
		targets = append(targets, t)
	} else {
		targets[i] = t
	}
	s.setTargetsLocked(targets)
}

// RemoveTarget removes the named target from the platform's list of targets (host
// list).
func (s *Store) RemoveTarget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setTargetsLocked(slices.DeleteFunc(s.hosts.latest(), func(t platform.Target) bool { return t.Name == name }))
}

// MarkLeaving marks the named target as leaving in the platform's list of targets
// (host list). It reports whether the list contains the target.
func (s *Store) MarkLeaving(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.hosts.latest()
	i := slices.IndexFunc(targets, func(x platform.Target) bool { return x.Name == name })
	if i < 0 {
		return false
	}
	targets[i].Leaving = true
	s.setTargetsLocked(targets)
	return true
}

// CurrentTargets returns the latest version of the platform's list of targets (host
// list), regardless of Fault.HostListLag.
func (s *Store) CurrentTargets() []platform.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts.latest()
}

func (s *Store) setTargetsLocked(targets []platform.Target) {
	now := s.options.Now()
	s.hosts.dropBefore(now.Add(-s.fault.HostListLag))
	s.hosts.versions = append(s.hosts.versions, hostVersion{since: now, targets: targets})
}

// listAt returns a copy of the list as it was at an instant.
func (h *hostList) listAt(instant time.Time) []platform.Target {
	for _, version := range slices.Backward(h.versions) {
		if !version.since.After(instant) {
			return slices.Clone(version.targets)
		}
	}
	return nil
}

func (h *hostList) latest() []platform.Target {
	if len(h.versions) == 0 {
		return nil
	}
	return slices.Clone(h.versions[len(h.versions)-1].targets)
}

// dropBefore drops the versions that were replaced by the time limit.
func (h *hostList) dropBefore(limit time.Time) {
	for len(h.versions) > 1 && !h.versions[1].since.After(limit) {
		h.versions = h.versions[1:]
	}
}
