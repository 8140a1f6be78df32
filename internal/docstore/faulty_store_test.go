package docstore

import (
	"context"
	"sync"
	"time"

	"corianderhitch/internal/platform"
)

// fault is a failure of one Put.
type fault int

const (
	noFault        fault = iota
	answerLost           // the write takes effect, its answer is lost
	requestLost          // the request is lost without effect
	requestDelayed       // the caller gets no answer, the write takes effect after requestDelay
	unavailable          // rejected without effect
)

// requestDelay is the delay of a Put with the fault requestDelayed.
const requestDelay = 700 * time.Millisecond

// faultyStore is a store that injects faults into writes. fault gets the number of
// the Put, from 0.
type faultyStore struct {
	platform.Store
	fault func(put int) fault

	mu      sync.Mutex
	puts    int            // guarded by mu
	delayed sync.WaitGroup // delayed writes in progress
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, at platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	s.mu.Lock()
	number := s.puts
	s.puts++
	s.mu.Unlock()
	switch s.fault(number) {
	case answerLost:
		_, _ = s.Store.Put(ctx, key, value, at, lease)
		return 0, platform.ErrOutcomeUnknown
	case requestLost:
		return 0, platform.ErrOutcomeUnknown
	case requestDelayed:
		s.delayed.Go(func() {
			time.Sleep(requestDelay)
			_, _ = s.Store.Put(context.WithoutCancel(ctx), key, value, at, lease)
		})
		return 0, platform.ErrOutcomeUnknown
	case unavailable:
		return 0, platform.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, at, lease)
}
