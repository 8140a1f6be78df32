package docstore

import (
	"context"
	"sync"
	"time"

	"corianderhitch/internal/platform"
)

// fault is what happens to one Put.
type fault int

const (
	none        fault = iota
	lostAfter         // takes effect, answer lost
	lostBefore        // lost on the way there
	late              // answer lost, takes effect some time after
	unavailable       // refused without effect
)

// lateBy is how long a late Put stays on the way.
const lateBy = 700 * time.Millisecond

// scripted is a store whose writes meet faults.
type scripted struct {
	platform.Store
	fault func(put int) fault

	mu   sync.Mutex
	puts int            // guarded by mu
	late sync.WaitGroup // writes on the way
}

func (s *scripted) Put(ctx context.Context, key string, value []byte, at platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	s.mu.Lock()
	number := s.puts
	s.puts++
	s.mu.Unlock()
	switch s.fault(number) {
	case lostAfter:
		_, _ = s.Store.Put(ctx, key, value, at, lease)
		return 0, platform.ErrOutcomeUnknown
	case lostBefore:
		return 0, platform.ErrOutcomeUnknown
	case late:
		s.late.Go(func() {
			time.Sleep(lateBy)
			_, _ = s.Store.Put(context.WithoutCancel(ctx), key, value, at, lease)
		})
		return 0, platform.ErrOutcomeUnknown
	case unavailable:
		return 0, platform.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, at, lease)
}
