package memstore

import (
	"maps"
	"slices"

	"corianderhitch/internal/platform"
)

// Copy is the state of a store at one time, from which it can be restored.
type Copy struct {
	entries   map[string]platform.Entry
	keys      []string
	revision  Revision
	leases    map[platform.LeaseID]*lease
	nextLease platform.LeaseID
}

// Copy returns a copy of the current state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	c := &Copy{entries: maps.Clone(s.entries), keys: slices.Clone(s.keys), revision: s.revision, nextLease: s.nextLease, leases: make(map[platform.LeaseID]*lease)}
	for id, l := range s.leases {
		c.leases[id] = &lease{ttl: l.ttl, keys: maps.Clone(l.keys)}
	}
	return c
}

// Restore replaces the state by a copy and begins a new era. All writes and leases since
// the copy are lost; their revisions and lease ids are given out again. Leases of the copy
// run from now. Blocked watches return platform.ErrCompacted.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	s.entries = make(map[string]platform.Entry, len(c.entries))
	for key, e := range c.entries {
		e.Revision = e.Revision.InEra(era)
		s.entries[key] = e
	}
	s.keys, s.revision, s.nextLease = slices.Clone(c.keys), c.revision.InEra(era), c.nextLease
	s.leases = make(map[platform.LeaseID]*lease, len(c.leases))
	now := s.options.Now()
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: now.Add(l.ttl), keys: maps.Clone(l.keys)}
	}
	s.history.events, s.history.bytes, s.history.compacted = nil, 0, s.revision
	s.notifyWatchesLocked()
}

// Era returns how often the store was restored.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision.Era()
}
