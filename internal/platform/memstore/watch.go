package memstore

import (
	"context"
	"time"

	"corianderhitch/internal/platform"
)

// Watch implements platform.Store. A revision that the store has not reached
// gets platform.ErrCompacted as well: the store has lost its state since.
func (s *Store) Watch(ctx context.Context, prefix string, after platform.Revision) ([]platform.Event, platform.Revision, error) {
	var events []platform.Event
	var revision Revision
	deadline := time.Now().Add(s.options.PollLimit)
	look := func() (err error) {
		events, revision, err = s.eventsLocked(prefix, after)
		return err
	}
	if err := s.read(ctx, prefix, look); err != nil {
		return nil, after, err
	}
	if len(events) > 0 {
		return events, revision, nil
	}
	s.countWatch(1)
	defer s.countWatch(-1)
	for {
		events, revision, wait, changed, err := s.poll(prefix, after)
		left := time.Until(deadline)
		if err != nil || len(events) > 0 || left <= 0 {
			return events, revision, err
		}
		if !pause(ctx, changed, min(wait, left)) {
			return nil, after, unavailable(ctx)
		}
	}
}

// poll returns the events so far; without any, it returns how long to wait and
// the channel that is closed at the next change.
func (s *Store) poll(prefix string, after Revision) ([]platform.Event, Revision, time.Duration, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultLocked(prefix).Outage {
		return nil, after, 0, nil, platform.ErrUnavailable
	}
	s.expireLocked()
	events, revision, err := s.eventsLocked(prefix, after)
	return events, revision, s.untilExpiryLocked(), s.changed, err
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

func (s *Store) countWatch(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.WaitingWatches += n
	s.counts.PeakWatches = max(s.counts.PeakWatches, s.counts.WaitingWatches)
}

// pause waits for a change or for d. It returns false when ctx has ended.
func pause(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
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
