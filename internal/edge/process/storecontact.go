package process

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/platform"
)

// storeSilence is how long the store may leave a confirmation unanswered, or reject confirmations in a
// row, before this host stops counting as one that follows it. A slow store answers within a few hundred
// milliseconds. A hub's confirmation period, this and the time in which other hosts notice add up to less
// than a target's leaving notice.
const storeSilence = 600 * time.Millisecond

// storeContact notices that the store does not serve this host. Watches don't show that: one that waits
// looks the same while nothing changes. It is safe for concurrent use.
type storeContact struct {
	// onSilence is called with the start of the last call that was answered; nil for nothing. It may
	// be called more than once in a silence.
	onSilence func(lastAnswer bootclock.Instant)
	// stalled reports whether this process was stalled at any time after an instant, so that an answer
	// may wait unread; nil for never.
	stalled func(since bootclock.Instant) bool

	mu           sync.Mutex
	answeredAt   bootclock.Instant // guarded by mu; start of the latest call that was answered
	failingSince bootclock.Instant // guarded by mu; start of the first failed call after answeredAt; 0 for none

	heardAt atomic.Int64 // bootclock.Instant at which the store last began to answer a call of any kind
}

// heard records that the store has begun to answer a call.
func (c *storeContact) heard() { c.heardAt.Store(int64(bootclock.Now())) }

// heardSince reports whether the store has begun to answer a call after an instant.
func (c *storeContact) heardSince(at bootclock.Instant) bool {
	return bootclock.Instant(c.heardAt.Load()) > at
}

// observe makes a call to the store and records whether the store answers it. An answer that has begun
// is no silence, however long it is.
func (c *storeContact) observe(ctx context.Context, call func(ctx context.Context) error) error {
	startedAt := bootclock.Now()
	timer := time.AfterFunc(storeSilence, func() {
		if c.stalled == nil || !c.stalled(startedAt) { // otherwise the end of the call tells
			c.failed(startedAt)
		}
	})
	err := call(platform.WithAnswerNotice(ctx, func() {
		timer.Stop()
		c.answered(startedAt)
	}))
	timer.Stop()
	if err == nil || errors.Is(err, platform.ErrNotFound) {
		c.answered(startedAt)
	} else {
		c.failed(startedAt)
	}
	return err
}

func (c *storeContact) answered(startedAt bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt = max(c.answeredAt, startedAt)
	c.failingSince = 0
}

// failed records that a call has failed or not been answered in time.
func (c *storeContact) failed(startedAt bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if startedAt < c.answeredAt { // a later call was answered
		return
	}
	if c.failingSince == 0 {
		c.failingSince = startedAt
	}
	if c.onSilence != nil && bootclock.Since(c.failingSince) >= storeSilence {
		c.onSilence(c.answeredAt)
	}
}
