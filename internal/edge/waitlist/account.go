package waitlist

import (
	"math"
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// usageTimeConstant is the time over which the use of capacity is forgotten.
	usageTimeConstant = 10 * time.Second
	// starvedShare of the mean share of the accounts is the share of its tokens below which an
	// account comes first. Least use alone serves accounts with few requests in full and leaves
	// large accounts under half of the mean.
	starvedShare = 0.75
	// shareWeight is how many tokens' worth of the mean share an account starts with: single
	// requests of small accounts say little.
	shareWeight = 8000.0
	// minUsage is the use, in tokens, below which an account is forgotten.
	minUsage = 10.0
	// maxAccounts bounds the accounts that are remembered by service.
	maxAccounts = 4096
	// refreshInterval is the minimum time between two computations of the shares.
	refreshInterval = 100 * time.Millisecond
)

// account is what an account asked for and used of a service recently. All tokens are scaled by
// accounts.scale, so that they need not be decayed one by one.
type account struct {
	used  float64
	kinds map[int]*usage // by urgency
}

type usage struct {
	asked, served float64
	starved       bool
}

func (a *account) kind(urgency int) *usage {
	u := a.kinds[urgency]
	if u == nil {
		u = &usage{}
		a.kinds[urgency] = u
	}
	return u
}

func (a *account) isStarved(urgency int) bool {
	u := a.kinds[urgency]
	return u != nil && u.starved
}

// accounts holds the accounts of a service.
type accounts struct {
	byName    map[string]*account
	other     *account          // for names beyond maxAccounts
	origin    bootclock.Instant // when the scale was 1
	refreshed bootclock.Instant
}

func newAccounts(now bootclock.Instant) *accounts {
	return &accounts{byName: make(map[string]*account), other: &account{kinds: make(map[int]*usage)}, origin: now, refreshed: now}
}

func (s *accounts) get(name string) *account {
	a := s.byName[name]
	if a == nil {
		if len(s.byName) >= maxAccounts {
			return s.other
		}
		a = &account{kinds: make(map[int]*usage)}
		s.byName[name] = a
	}
	return a
}

// scale returns by how much recent tokens outweigh those at the origin.
func (s *accounts) scale(now bootclock.Instant) float64 {
	return math.Exp(now.Sub(s.origin).Seconds() / usageTimeConstant.Seconds())
}

func (s *accounts) recordAsked(now bootclock.Instant, a *account, urgency, tokens int) {
	a.kind(urgency).asked += float64(tokens) * s.scale(now)
}

func (s *accounts) recordServed(now bootclock.Instant, a *account, urgency, tokens int) {
	scaled := float64(tokens) * s.scale(now)
	a.used += scaled
	a.kind(urgency).served += scaled
}

// refresh computes which accounts are starved and forgets those without use. inUse reports
// whether an entry refers to an account.
func (s *accounts) refresh(now bootclock.Instant, inUse func(*account) bool) {
	if now.Sub(s.refreshed) < refreshInterval {
		return
	}
	s.refreshed = now
	scale := s.scale(now)
	if scale > 1e6 {
		s.rescale(scale)
		s.origin, scale = now, 1
	}
	type sum struct {
		shares float64
		n      int
	}
	sums := make(map[int]*sum)
	for name, a := range s.byName {
		asked := a.used
		for urgency, u := range a.kinds {
			asked += u.asked
			if u.asked < minUsage*scale {
				continue
			}
			if sums[urgency] == nil {
				sums[urgency] = &sum{}
			}
			sums[urgency].shares += min(1, u.served/u.asked)
			sums[urgency].n++
		}
		if asked < minUsage*scale && !inUse(a) {
			delete(s.byName, name)
		}
	}
	weight := shareWeight * scale
	for _, a := range s.byName {
		for urgency, u := range a.kinds {
			if m := sums[urgency]; m != nil {
				mean := m.shares / float64(m.n)
				u.starved = (u.served+weight*mean)/(u.asked+weight) < starvedShare*mean
			}
		}
	}
}

func (s *accounts) rescale(by float64) {
	s.other.divide(by)
	for _, a := range s.byName {
		a.divide(by)
	}
}

func (a *account) divide(by float64) {
	a.used /= by
	for _, u := range a.kinds {
		u.asked /= by
		u.served /= by
	}
}
