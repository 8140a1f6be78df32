package warmup

import (
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/platform"
)

// target is what this host knows of one incarnation, and what it may send to it while it is cold.
type target struct {
	service  string
	revision platform.Revision // of the entry that was read last
	// Until when the target is cold, by each source. It is cold until the latest of them.
	byEntry, byAnswer, byMark bootclock.Instant
	markedAt                  platform.Revision // entries that are newer say more than the mark
	// toldAt is when an answer or a mark was last recorded, which other hosts are told.
	toldAt    bootclock.Instant
	coldSince bootclock.Instant // 0 while it is warm
	seenAt    bootclock.Instant

	permits   float64
	updatedAt bootclock.Instant
	sentAt    bootclock.Instant // when the last permit was taken
	// hubPermits are those that this host may grant if it places the runs of all hosts.
	hubPermits   float64
	hubUpdatedAt bootclock.Instant
	// keptUntil is until when permits are kept for runs that continue at the target.
	keptUntil bootclock.Instant
	lentUntil bootclock.Instant
	lentTo    string            // host that this one's share was last lent to
	loans     map[string]loan   // by the host that lends it
	wantedAt  bootclock.Instant // when a permit was last wanted in vain
	askedAt   bootclock.Instant // when another host was last asked for its share
	asked     int               // counts the hosts that were asked, from a random number
}

// loan is the share of another host that this one uses.
type loan struct {
	holding
	until bootclock.Instant
}

// borrowed returns what this host may send by the shares of others, and how many these are.
func (s *target) borrowed(now bootclock.Instant) (h holding, loans int) {
	for from, l := range s.loans {
		if now >= l.until {
			delete(s.loans, from)
			continue
		}
		h.perSecond += l.perSecond
		h.burst += l.burst
		loans++
	}
	return h, loans
}

// until returns until when the target is cold.
func (s *target) until() bootclock.Instant { return max(s.byEntry, s.byAnswer, s.byMark) }

// accrue adds what has accrued until now. What a host without a share has is lost.
func (s *target) accrue(now bootclock.Instant, h holding) {
	if h.perSecond <= 0 {
		s.permits = 0
	} else {
		s.permits = min(h.burst, s.permits+h.perSecond*max(0, now.Sub(s.updatedAt).Seconds()))
	}
	s.updatedAt = max(s.updatedAt, now)
}

// shareDelay is roughly how long it takes until a host without a share has borrowed one, or until
// a caller that returns may have reached a host with a share.
const shareDelay = 700 * time.Millisecond

// keptForRuns is how long permits are kept for a run that could not continue at the target and tries
// again. It would be lost, while requests may go to other targets.
const keptForRuns = 150 * time.Millisecond

// wait returns how long it takes until a permit is available for a request, or for a run that
// continues, or until the target is warm.
func (s *target) wait(continues bool, now bootclock.Instant, h holding) time.Duration {
	wait := time.Duration(0)
	switch {
	case s.permits >= 1:
	case h.perSecond <= 0:
		wait = shareDelay
	default:
		wait = time.Duration((1 - s.permits) / h.perSecond * float64(time.Second))
	}
	if !continues {
		wait = max(wait, s.keptUntil.Sub(now))
	}
	return min(wait, s.until().Sub(now))
}
