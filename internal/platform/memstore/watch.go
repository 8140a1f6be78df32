package memstore

import (
	"context"
	"time"

	"corianderhitch/internal/platform"
)

// Watch implements platform.Store. It also returns platform.ErrCompacted for a
// revision that the store has not reached, because the store must have lost state.
func (s *Store) Watch(ctx context.Context, prefix string, after platform.Revision) ([]platform.Event, platform.Revision, error) {
	var events []platform.Event
	var revision Revision
	deadline := time.Now().Add(s.options.PollLimit)
	readEvents := func() (err error) {
		events, revision, err = s.eventsLocked(prefix, after)
		return err
	}
	if err := s.read(ctx, prefix, readEvents); err != nil {
		return nil, after, err
	}
	if len(events) > 0 {
		return events, revision, nil
	}
	s.addWaitingWatches(1)
	defer s.addWaitingWatches(-1)
	for {
		events, revision, wait, changed, err := s.poll(prefix, after)
		remaining := time.Until(deadline)
		if err != nil || len(events) > 0 || remaining <= 0 {
			return events, revision, err
		}
		if !waitForChange(ctx, changed, min(wait, remaining)) {
			return nil, after, unavailable(ctx)
		}
	}
}

// Changes returns the events after a revision without waiting for any. Its errors are those of Watch.
func (s *Store) Changes(ctx context.Context, prefix string, after platform.Revision) (events []platform.Event, revision platform.Revision, err error) {
	err = s.read(ctx, prefix, func() (err error) {
		events, revision, err = s.eventsLocked(prefix, after)
		return err
	})
	if err != nil {
		return nil, after, err
	}
	return events, revision, nil
}

// poll returns the events so far. If there are none, the caller must wait for the
// returned duration or until the returned channel is closed by the next change.
func (s *Store) poll(prefix string, after Revision) ([]platform.Event, Revision, time.Duration, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultForLocked(prefix).Outage {
		return nil, after, 0, nil, platform.ErrUnavailable
	}
	s.expireLocked()
	events, revision, err := s.eventsLocked(prefix, after)
	return events, revision, s.timeToNextExpiryLocked(), s.changed, err
}

func (s *Store) eventsLocked(prefix string, after Revision) ([]platform.Event, Revision, error) {
	if after > s.revision {
		return nil, after, platform.ErrCompacted
	}
	events, ok := s.history.after(after, prefix)
	if !ok {
		return nil, after, platform.ErrCompacted
	}
	return events, s.revision, nil
}

func (s *Store) addWaitingWatches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.WaitingWatches += n
	s.counts.PeakWatches = max(s.counts.PeakWatches, s.counts.WaitingWatches)
}

// waitForChange waits for a change, at most for d. It returns false if ctx ended.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}
