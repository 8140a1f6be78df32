package process

import (
	"context"
	"errors"
	"time"

	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/platform"
)

// countedStore counts the calls to the store by result, since each call is paid for, and
// passes on the era of the answers.
type countedStore struct {
	peers.Store
	count      func(call, result string)
	observeEra func(era int64, source string)
	heard      func() // called when the store begins to answer a call; nil for nothing
}

// noticing returns a context that notices when an answer begins.
func (s *countedStore) noticing(ctx context.Context) context.Context {
	if s.heard == nil {
		return ctx
	}
	return platform.WithAnswerNotice(ctx, s.heard)
}

func (s *countedStore) record(call string, err error) {
	s.count(call, resultLabel(err))
	if err == nil && s.heard != nil {
		s.heard()
	}
	if err == nil || !errors.Is(err, platform.ErrUnavailable) { // without an answer there is no era to observe
		s.observeEra(s.Era(), "store")
	}
}

// resultLabel returns the metric label for the result of a call to the store.
func resultLabel(err error) string {
	for _, known := range []struct {
		err  error
		name string
	}{
		{nil, "ok"}, {platform.ErrNotFound, "not_found"}, {platform.ErrConflict, "conflict"}, {platform.ErrCompacted, "compacted"},
		{platform.ErrRateLimited, "rate_limited"}, {platform.ErrUnavailable, "unavailable"}, {platform.ErrOutcomeUnknown, "outcome_unknown"},
		{platform.ErrLeaseExpired, "lease_expired"}, {context.Canceled, "canceled"}, {context.DeadlineExceeded, "timeout"},
	} {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	return "failed"
}

// Get implements peers.Store.
func (s *countedStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	e, err := s.Store.Get(s.noticing(ctx), key)
	s.record("get", err)
	return e, err
}

// List implements peers.Store.
func (s *countedStore) List(ctx context.Context, prefix, after string, limit int) ([]platform.Entry, platform.Revision, error) {
	entries, revision, err := s.Store.List(s.noticing(ctx), prefix, after, limit)
	s.record("list", err)
	return entries, revision, err
}

// ListStale implements peers.Store.
func (s *countedStore) ListStale(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	entries, revision, err := s.Store.ListStale(s.noticing(ctx), prefix)
	s.record("list_stale", err)
	return entries, revision, err
}

// Put implements peers.Store.
func (s *countedStore) Put(ctx context.Context, key string, value []byte, ifRevision platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	revision, err := s.Store.Put(ctx, key, value, ifRevision, lease)
	s.record("put", err)
	return revision, err
}

// Watch implements peers.Store.
func (s *countedStore) Watch(ctx context.Context, prefix string, after platform.Revision) ([]platform.Event, platform.Revision, error) {
	events, next, err := s.Store.Watch(s.noticing(ctx), prefix, after)
	s.record("watch", err)
	return events, next, err
}

// Changes implements peers.Store.
func (s *countedStore) Changes(ctx context.Context, prefix string, after platform.Revision) ([]platform.Event, platform.Revision, error) {
	events, asOf, err := s.Store.Changes(s.noticing(ctx), prefix, after)
	s.record("changes", err)
	return events, asOf, err
}

// Grant implements peers.Store.
func (s *countedStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	id, err := s.Store.Grant(ctx, ttl)
	s.record("grant", err)
	return id, err
}

// KeepAlive implements peers.Store.
func (s *countedStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	err := s.Store.KeepAlive(ctx, id)
	s.record("keep_alive", err)
	return err
}

// Revoke implements peers.Store.
func (s *countedStore) Revoke(ctx context.Context, id platform.LeaseID) error {
	err := s.Store.Revoke(ctx, id)
	s.record("revoke", err)
	return err
}
