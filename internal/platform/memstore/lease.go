package memstore

import (
	"context"
	"sort"
	"time"

	"corianderhitch/internal/platform"
)

// lease is a lease and the keys that are deleted when it ends.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	ttl = max(ttl, minTTL)
	var id platform.LeaseID
	err := s.write(ctx, noKey, func() error {
		id = s.nextLease
		s.nextLease++
		s.leases[id] = &lease{ttl: ttl, expires: s.options.Now().Add(ttl), keys: make(map[string]bool)}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	return s.write(ctx, noKey, func() error {
		l := s.leases[id]
		if l == nil {
			return platform.ErrLeaseExpired
		}
		l.expires = s.options.Now().Add(l.ttl)
		return nil
	})
}

// Revoke implements platform.Store. Revoking an ended lease succeeds.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	return s.write(ctx, noKey, func() error {
		s.endLeaseLocked(id)
		return nil
	})
}

// ExpireLeases ends the leases whose time has passed. It is needed only with a clock
// set by Options.Now.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	s.notifyWatchesLocked()
}

func (s *Store) expireLocked() {
	now := s.options.Now()
	var ended []platform.LeaseID
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			ended = append(ended, id)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i] < ended[j] })
	for _, id := range ended {
		s.endLeaseLocked(id)
	}
}

func (s *Store) endLeaseLocked(id platform.LeaseID) {
	l := s.leases[id]
	if l == nil {
		return
	}
	delete(s.leases, id)
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.deleteLocked(key)
	}
}

// detachFromLeaseLocked removes an entry from its lease.
func (s *Store) detachFromLeaseLocked(e platform.Entry) {
	if l := s.leases[e.Lease]; l != nil {
		delete(l.keys, e.Key)
	}
}

// timeToNextExpiryLocked returns the time until the next lease ends, at most the
// poll limit.
func (s *Store) timeToNextExpiryLocked() time.Duration {
	now := s.options.Now()
	next := s.options.PollLimit
	for _, l := range s.leases {
		next = min(next, l.expires.Sub(now))
	}
	return max(next, 0)
}
