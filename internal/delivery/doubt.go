package delivery

import (
	"context"
	"errors"
	"time"

	"corianderhitch/internal/platform"
)

const (
	// doubtFor is how long a record whose write was not confirmed is looked for.
	doubtFor = 10 * time.Minute
	// maxDoubtful bounds the records that are looked for.
	maxDoubtful = 1000
)

// doubt remembers a record that may stand although its caller was told that the
// store gave no answer. Other hosts leave it to this one, which is alive.
func (s *Service) doubt(d draftID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.doubtful) < maxDoubtful {
		s.doubtful[d] = time.Now()
	}
}

// resolveDoubts runs the doubtful drafts whose records have come to stand.
func (s *Service) resolveDoubts(ctx context.Context) {
	s.mu.Lock()
	var open []draftID
	for d := range s.doubtful {
		open = append(open, d)
	}
	s.mu.Unlock()
	for _, d := range open {
		if s.resolveDoubt(ctx, d) {
			s.mu.Lock()
			delete(s.doubtful, d)
			s.mu.Unlock()
		}
	}
}

func (s *Service) resolveDoubt(ctx context.Context, d draftID) bool {
	callCtx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	p, err := s.repository.pending(callCtx, d)
	if errors.Is(err, platform.ErrNotFound) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Since(s.doubtful[d]) > doubtFor
	}
	if err != nil {
		return false
	}
	return p.Host != s.settings.Host || s.adopt(ctx, p)
}
