// Package memstore is an in-memory implementation of the platform's key-value store
// and host list. It implements platform.Store and platform.HostList with
// compare-and-swap, leases, watches over a bounded history, rate limits, counts of
// calls, and fault injection for tests. The stand-in store serves it over HTTP.
package memstore

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"

	"golang.org/x/time/rate"

	"corianderhitch/internal/platform"
)

// Revision is platform.Revision.
type Revision = platform.Revision

// Store is an in-memory store. It is safe for concurrent use. It runs no goroutines:
// expired leases are ended by the next call or by a blocked watch.
type Store struct {
	options Options
	reads   *rate.Limiter // nil if unlimited
	writes  *rate.Limiter // nil if unlimited

	mu        sync.Mutex
	entries   map[string]platform.Entry   // guarded by mu
	keys      []string                    // sorted; guarded by mu
	revision  Revision                    // guarded by mu
	history   history                     // guarded by mu
	leases    map[platform.LeaseID]*lease // guarded by mu
	nextLease platform.LeaseID            // guarded by mu
	changed   chan struct{}               // closed and replaced on every change; guarded by mu
	fault     Fault                       // guarded by mu
	counts    Counts                      // guarded by mu
	random    *rand.Rand                  // guarded by mu
	hosts     hostList                    // guarded by mu
}

var (
	_ platform.Store    = (*Store)(nil)
	_ platform.HostList = (*Store)(nil)
)

// New returns an empty store.
func New(options Options) *Store {
	options = options.withDefaults()
	return &Store{
		options:   options,
		reads:     newLimiter(options.ReadsPerSecond),
		writes:    newLimiter(options.WritesPerSecond),
		entries:   make(map[string]platform.Entry),
		history:   history{maxEvents: options.HistoryEvents, maxBytes: options.HistoryBytes},
		leases:    make(map[platform.LeaseID]*lease),
		nextLease: 1,
		changed:   make(chan struct{}),
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed)),
	}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry platform.Entry
	err := s.read(ctx, key, func() error {
		e, ok := s.entries[key]
		if !ok {
			return platform.ErrNotFound
		}
		entry = cloneEntry(e)
		return nil
	})
	return entry, err
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]platform.Entry, platform.Revision, error) {
	if limit <= 0 || limit > maxListEntries {
		limit = maxListEntries
	}
	var entries []platform.Entry
	var revision Revision
	err := s.read(ctx, prefix, func() error {
		revision = s.revision
		for i := s.firstKey(prefix, after); i < len(s.keys) && len(entries) < limit; i++ {
			if !strings.HasPrefix(s.keys[i], prefix) {
				break
			}
			entries = append(entries, cloneEntry(s.entries[s.keys[i]]))
		}
		return nil
	})
	return entries, revision, err
}

// firstKey returns the index of the first key after the given one that may have the
// prefix.
func (s *Store) firstKey(prefix, after string) int {
	if after < prefix {
		return sort.SearchStrings(s.keys, prefix)
	}
	return sort.Search(len(s.keys), func(i int) bool { return s.keys[i] > after })
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifRevision platform.Revision, id platform.LeaseID) (platform.Revision, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	value = append([]byte{}, value...)
	var revision Revision
	err := s.write(ctx, key, func() error {
		if !s.conditionHoldsLocked(key, ifRevision) {
			return platform.ErrConflict
		}
		if id != 0 && s.leases[id] == nil {
			return platform.ErrLeaseExpired
		}
		revision = s.putLocked(key, value, id)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, ifRevision platform.Revision) error {
	return s.write(ctx, key, func() error {
		if !s.conditionHoldsLocked(key, ifRevision) {
			return platform.ErrConflict
		}
		s.deleteLocked(key)
		return nil
	})
}

func (s *Store) conditionHoldsLocked(key string, condition Revision) bool {
	return condition == platform.AnyRevision || s.entries[key].Revision == condition
}

// putLocked stores an entry under the next revision, attaches it to the lease if id
// names one, and records the event.
func (s *Store) putLocked(key string, value []byte, id platform.LeaseID) Revision {
	old, exists := s.entries[key]
	if !exists {
		i := sort.SearchStrings(s.keys, key)
		s.keys = append(s.keys, "")
		copy(s.keys[i+1:], s.keys[i:])
		s.keys[i] = key
	}
	s.detachFromLeaseLocked(old)
	s.revision++
	e := platform.Entry{Key: key, Value: value, Revision: s.revision, Lease: id}
	s.entries[key] = e
	if l := s.leases[id]; l != nil {
		l.keys[key] = true
	}
	s.recordEventLocked(platform.Event{Entry: e})
	return s.revision
}

func (s *Store) deleteLocked(key string) {
	old, exists := s.entries[key]
	if !exists {
		return
	}
	s.detachFromLeaseLocked(old)
	delete(s.entries, key)
	i := sort.SearchStrings(s.keys, key)
	s.keys = append(s.keys[:i], s.keys[i+1:]...)
	s.revision++
	s.recordEventLocked(platform.Event{Entry: platform.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

// recordEventLocked adds an event to the history and wakes blocked watches.
func (s *Store) recordEventLocked(e platform.Event) {
	s.history.add(e)
	s.notifyWatchesLocked()
}

func (s *Store) notifyWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneEntry(e platform.Entry) platform.Entry {
	e.Value = append([]byte{}, e.Value...)
	return e
}
