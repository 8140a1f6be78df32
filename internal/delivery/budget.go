package delivery

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// writesPerRequest is the number of store writes that a late request takes if its
	// answer is not chunked: pending record, answer, removal of the pending record.
	writesPerRequest = 3
	// maxPendingBytes bounds the prompts of this host's late requests in progress.
	maxPendingBytes = 64 << 20
	// accountShare is the fraction of a host's budget that one account may use.
	accountShare = 0.5
	// budgetRetryAfter is when a caller should retry if a limit other than a rate is
	// exceeded.
	budgetRetryAfter = 5 * time.Second
	// burstPeriod is the time whose events a limiter allows at once.
	burstPeriod = 1 * time.Second
)

// budget bounds the store writes, prompt bytes and number of late requests. It is
// safe for concurrent use.
type budget struct {
	writesPerSecond float64 // over all hosts

	mu       sync.Mutex
	rate     *rate.Limiter             // nil until the hosts are known; guarded by mu
	noBurst  time.Time                 // until when the burst of a host that has just started is withheld; guarded by mu
	bytes    int                       // guarded by mu
	accounts map[string]*accountBudget // guarded by mu
}

// accountBudget is the part of the budget that one account uses.
type accountBudget struct {
	rate     *rate.Limiter // nil before the first request that is not resumed
	bytes    int
	requests int // in progress
}

func newBudget(writesPerSecond float64) *budget {
	return &budget{writesPerSecond: writesPerSecond, accounts: make(map[string]*accountBudget)}
}

// burst returns the burst of a limiter: the events of burstPeriod, and at least one.
func burst(perSecond rate.Limit) int { return max(1, int(float64(perSecond)*burstPeriod.Seconds())) }

// withRate returns the limiter with another rate, or a full one for nil. What has been
// used stays used, so that no change of the rate grants a burst.
func withRate(l *rate.Limiter, perSecond rate.Limit, now time.Time) *rate.Limiter {
	if l == nil {
		return rate.NewLimiter(perSecond, burst(perSecond))
	}
	if l.Limit() != perSecond {
		l.SetLimitAt(now, perSecond)
		l.SetBurstAt(now, burst(perSecond))
	}
	return l
}

// tryReserve reserves budget for a late request with a prompt of size bytes, and
// returns how long to wait before the request may be recorded. If it returns false nothing
// is reserved, and the caller should retry after that time. The writes per second and the
// account's limit of requests (zero for none) are divided evenly between hosts; until the
// hosts are known nothing is reserved.
//
// A host that has just started may not know the others yet, so it gets no burst. Until
// the burst would be available, requests wait for their turn.
func (b *budget) tryReserve(account string, size, limit, hosts int, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if hosts == 0 && b.rate == nil {
		return budgetRetryAfter, false
	}
	hosts = max(hosts, 1)
	share := rate.Limit(b.writesPerSecond / float64(writesPerRequest*hosts))
	if b.rate == nil && hosts == 1 {
		b.rate = rate.NewLimiter(share, 1)
		b.rate.SetBurstAt(now, burst(share))
		b.noBurst = now.Add(burstPeriod)
	}
	b.rate = withRate(b.rate, share, now)
	used := b.accountLocked(account)
	used.rate = withRate(used.rate, share*accountShare, now)
	if limit > 0 && used.requests >= (limit+hosts-1)/hosts {
		return budgetRetryAfter, false
	}
	if b.bytes+size > maxPendingBytes || float64(used.bytes+size) > accountShare*maxPendingBytes {
		return budgetRetryAfter, false
	}
	maxDelay := max(0, b.noBurst.Sub(now))
	delay := reserveAll(now, maxDelay, b.rate, used.rate)
	if delay > maxDelay {
		return delay, false
	}
	b.addLocked(account, size)
	return delay, true
}

// reserveAll takes one event from each limiter and returns the time until they are due. If
// that is longer than maxDelay it takes none.
func reserveAll(now time.Time, maxDelay time.Duration, limiters ...*rate.Limiter) time.Duration {
	var reservations []*rate.Reservation
	var delay time.Duration
	for _, l := range limiters {
		r := l.ReserveN(now, 1)
		reservations = append(reservations, r)
		delay = max(delay, r.DelayFrom(now))
	}
	if delay > maxDelay {
		for _, r := range reservations {
			r.CancelAt(now)
		}
	}
	return delay
}

func (b *budget) accountLocked(account string) *accountBudget {
	used := b.accounts[account]
	if used == nil {
		used = &accountBudget{}
		b.accounts[account] = used
	}
	return used
}

// reserve reserves budget for a request that was accepted already, without limits.
func (b *budget) reserve(account string, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(account, size)
}

func (b *budget) addLocked(account string, size int) {
	used := b.accountLocked(account)
	used.requests++
	used.bytes += size
	b.bytes += size
}

// release returns the budget of a late request. Accounts are never removed: they are
// few, and their rate limiters must keep their state.
func (b *budget) release(account string, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := b.accountLocked(account)
	used.requests--
	used.bytes -= size
	b.bytes -= size
}
