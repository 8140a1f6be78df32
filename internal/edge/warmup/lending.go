package warmup

import (
	"time"

	"corianderhitch/internal/edge/bootclock"
)

const (
	// lentFor is how long a host that does not use its share of a target's rate lends it to another.
	lentFor = 2 * time.Second
	// idleBeforeLending is how long a host must not have sent anything to the target. In no second
	// both it and the borrower use the share.
	idleBeforeLending = 1100 * time.Millisecond
	// wantedSpan is how long after a request that found no share another host is asked for one.
	wantedSpan = 500 * time.Millisecond
	// askInterval is the least time between two questions about a target, and renewBefore how long
	// before the end of a loan its lender is asked again.
	askInterval = 300 * time.Millisecond
	renewBefore = 500 * time.Millisecond
	// maxLoans bounds the shares that a host borrows of one target.
	maxLoans = 5
)

// LoanArgs asks a host that holds a share of a target's rate to lend it.
type LoanArgs struct {
	Host        string // that asks
	Incarnation string
}

// LoanReply is the share that is lent. PerSecond is 0 if none is.
type LoanReply struct {
	PerSecond float64
	Burst     float64
	Permits   float64       // that have accrued; 0 if the loan is renewed
	Lasts     time.Duration // from when the borrower asked
}

// Wanted returns a host to ask for its share of a target that requests of this host have lately
// wanted in vain, and false if there is none.
func (t *Tracker) Wanted(now bootclock.Instant) (lender string, args LoanArgs, ok bool) {
	if t == nil || !t.AnyCold(now) {
		return "", LoanArgs{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := ""
	for incarnation, s := range t.targets {
		switch {
		case s.wantedAt == 0 || now.Sub(s.wantedAt) > wantedSpan || now >= s.until() || now < s.lentUntil:
		case s.askedAt != 0 && now.Sub(s.askedAt) < askInterval:
		case chosen == "" || s.askedAt < t.targets[chosen].askedAt: // the one that has waited longest
			chosen = incarnation
		}
	}
	if chosen == "" {
		return "", LoanArgs{}, false
	}
	s := t.targets[chosen]
	s.askedAt = now
	lender = t.lender(chosen, s, now)
	return lender, LoanArgs{Host: t.shares.host, Incarnation: chosen}, lender != ""
}

// lender returns the host to ask for its share: one whose loan ends soon, or one that has lent
// none. It returns "" if there is none. Callers hold t.mu.
func (t *Tracker) lender(incarnation string, s *target, now bootclock.Instant) string {
	_, loans := s.borrowed(now)
	for from, l := range s.loans {
		if l.until.Sub(now) <= renewBefore {
			return from
		}
	}
	rate, _ := t.service(s.service)
	if rate <= 0 || loans >= maxLoans {
		return ""
	}
	holders := t.shares.holders(incarnation, t.division(s.service, rate))
	for range holders {
		s.asked++
		if host := holders[s.asked%len(holders)]; s.loans[host].until <= now {
			return host
		}
	}
	return ""
}

// Lend lends this host's share of a target's rate to another host if this one does not use it.
func (t *Tracker) Lend(args LoanArgs, now bootclock.Instant) LoanReply {
	if t == nil || !t.AnyCold(now) {
		return LoanReply{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, rate := t.bounded(args.Incarnation, now)
	if rate <= 0 || args.Host == "" || args.Host == t.shares.host {
		return LoanReply{}
	}
	if _, loans := s.borrowed(now); loans > 0 {
		return LoanReply{} // it needs more than its own share
	}
	own := t.shares.of(args.Incarnation, t.division(s.service, rate), now)
	reply := LoanReply{PerSecond: own.perSecond, Burst: own.burst, Lasts: lentFor}
	switch {
	case own.perSecond <= 0:
		return LoanReply{}
	case now < s.lentUntil && s.lentTo == args.Host: // renewed
	case now < s.lentUntil, s.sentAt != 0 && now.Sub(s.sentAt) < idleBeforeLending:
		return LoanReply{}
	default:
		s.accrue(now, own)
		if s.permits < 1 {
			return LoanReply{} // just got a share, or got it back
		}
		reply.Permits = s.permits
	}
	s.lentTo, s.lentUntil, s.permits = args.Host, now.Add(lentFor), 0
	s.updatedAt = s.lentUntil // nothing accrues here until then
	return reply
}

// Borrow records what a host that was asked at an instant has lent.
func (t *Tracker) Borrow(lender string, args LoanArgs, reply LoanReply, askedAt, now bootclock.Instant) {
	until := askedAt.Add(min(reply.Lasts, lentFor))
	if reply.PerSecond <= 0 || reply.Burst < 1 || now >= until {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[args.Incarnation]
	if s == nil {
		return
	}
	rate, _ := t.service(s.service)
	s.accrue(now, t.holdingOf(args.Incarnation, s, rate, now))
	if s.loans == nil {
		s.loans = make(map[string]loan)
	}
	s.permits += min(reply.Permits, reply.Burst)
	s.loans[lender] = loan{holding: holding{perSecond: reply.PerSecond, burst: reply.Burst}, until: until}
}
