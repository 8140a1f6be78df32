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
)

// budget bounds the store writes, prompt bytes and number of late requests. It is
// safe for concurrent use.
type budget struct {
	writesPerSecond float64 // over all hosts

	mu       sync.Mutex
	rate     *rate.Limiter             // guarded by mu
	bytes    int                       // guarded by mu
	accounts map[string]*accountBudget // guarded by mu
}

// accountBudget is the part of the budget that one account uses.
type accountBudget struct {
	rate     *rate.Limiter
	bytes    int
	requests int // in progress
}

func newBudget(writesPerSecond float64) *budget {
	return &budget{writesPerSecond: writesPerSecond, rate: newLimiter(0), accounts: make(map[string]*accountBudget)}
}

// newLimiter returns a limiter that allows a burst of one second's events, and at
// least one.
func newLimiter(perSecond rate.Limit) *rate.Limiter {
	return rate.NewLimiter(perSecond, max(1, int(perSecond)))
}

// tryReserve reserves budget for a late request with a prompt of size bytes, or
// returns how long the caller should wait. The writes per second and the account's
// limit of requests (zero for none) are divided evenly between hosts.
func (b *budget) tryReserve(account string, size, limit, hosts int, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts = max(hosts, 1)
	share := rate.Limit(b.writesPerSecond / float64(writesPerRequest*hosts))
	if b.rate.Limit() != share {
		b.rate = newLimiter(share)
	}
	used := b.accountLocked(account)
	if used.rate.Limit() != share*accountShare {
		used.rate = newLimiter(share * accountShare)
	}
	if limit > 0 && used.requests >= (limit+hosts-1)/hosts {
		return budgetRetryAfter, false
	}
	if b.bytes+size > maxPendingBytes || float64(used.bytes+size) > accountShare*maxPendingBytes {
		return budgetRetryAfter, false
	}
	if delay := reserveAll(now, b.rate, used.rate); delay > 0 {
		return delay, false
	}
	b.addLocked(account, size)
	return 0, true
}

// reserveAll takes one event from each limiter, or takes none and returns how long
// to wait.
func reserveAll(now time.Time, limiters ...*rate.Limiter) time.Duration {
	var reservations []*rate.Reservation
	var delay time.Duration
	for _, l := range limiters {
		r := l.ReserveN(now, 1)
		reservations = append(reservations, r)
		delay = max(delay, r.DelayFrom(now))
	}
	if delay > 0 {
		for _, r := range reservations {
			r.CancelAt(now)
		}
	}
	return delay
}

func (b *budget) accountLocked(account string) *accountBudget {
	used := b.accounts[account]
	if used == nil {
		used = &accountBudget{rate: newLimiter(0)}
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
