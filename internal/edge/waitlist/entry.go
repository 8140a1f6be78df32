package waitlist

import (
	"cmp"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

// entryLifetime is how long an entry stays after its host last asked. Hosts ask every 100 ms,
// so that one lost call does not remove an entry.
const entryLifetime = 250 * time.Millisecond

// entry is a run that waits.
type entry struct {
	Ask
	class    Class
	promised bool // its caller comes back when it was told to
	accepted bool // was not rejected at its first ask
	asks     int  // by itself, not as one of the others of its host
	arrived  bootclock.Instant
	latest   bootclock.Instant // latest useful start
	asked    bootclock.Instant // when its host last asked
	account  *account
	reserved string // incarnation of the engine that is kept for it; "" if none
}

func (e *entry) refresh(now bootclock.Instant, a *Ask) {
	e.Ask = *a
	e.asked, e.arrived, e.latest = now, now.Add(-a.Age), now.Add(a.UsefulFor)
}

func (e *entry) expired(now bootclock.Instant) bool {
	return now.Sub(e.asked) > entryLifetime || now.Sub(e.latest) > entryLifetime
}

// compare orders entries of a service. Within an urgency and class, accounts that got much less
// of what they asked for than others come first, then those that used least.
func (e *entry) compare(o *entry) int {
	if c := cmp.Or(cmp.Compare(e.Urgency, o.Urgency), cmp.Compare(e.class, o.class)); c != 0 {
		return c
	}
	if e.account != o.account {
		if es, os := e.account.isStarved(e.Urgency), o.account.isStarved(o.Urgency); es != os {
			if es {
				return -1
			}
			return 1
		}
		if c := cmp.Or(cmp.Compare(e.account.used, o.account.used), cmp.Compare(e.Account, o.Account)); c != 0 {
			return c
		}
	}
	return cmp.Or(cmp.Compare(e.arrived, o.arrived), cmp.Compare(e.ID, o.ID))
}
