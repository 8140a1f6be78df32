package delivery

import (
	"context"
	"errors"
	"time"

	"corianderhitch/internal/platform"
)

const (
	// unconfirmedRetention is how long a record whose write was not confirmed is
	// looked for.
	unconfirmedRetention = 10 * time.Minute
	// maxUnconfirmed bounds the records that are looked for.
	maxUnconfirmed = 1000
)

// trackUnconfirmed remembers a request whose pending record may exist although the
// caller got an error, because the store did not confirm the write. It must be tracked
// here, since no other host runs the request while this one is alive.
func (s *Service) trackUnconfirmed(ref requestRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unconfirmed) < maxUnconfirmed {
		s.unconfirmed[ref] = time.Now()
	}
}

// resolveUnconfirmed runs the tracked requests whose records turn out to exist.
func (s *Service) resolveUnconfirmed(ctx context.Context) {
	s.mu.Lock()
	var refs []requestRef
	for ref := range s.unconfirmed {
		refs = append(refs, ref)
	}
	s.mu.Unlock()
	for _, ref := range refs {
		if s.resolveOne(ctx, ref) {
			s.mu.Lock()
			delete(s.unconfirmed, ref)
			s.mu.Unlock()
		}
	}
}

// resolveOne reports whether the request no longer needs to be tracked.
func (s *Service) resolveOne(ctx context.Context, ref requestRef) bool {
	callCtx, cancel := context.WithTimeout(ctx, s.settings.StoreTimeout)
	defer cancel()
	p, err := s.repository.pending(callCtx, ref)
	if errors.Is(err, platform.ErrNotFound) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Since(s.unconfirmed[ref]) > unconfirmedRetention
	}
	if err != nil {
		return false
	}
	return p.Host != s.settings.Host || s.takeOver(ctx, p)
}
