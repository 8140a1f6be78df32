package delivery

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// writesPerDraft are the store's writes of an ordinary draft: pending record,
	// answer, removal of the pending record.
	writesPerDraft = 3
	// maxPendingBytes bounds the prompts of this host's drafts in progress.
	maxPendingBytes = 64 << 20
	// accountShare is the part of a host's share that one account may use.
	accountShare = 0.5
	// budgetRetry is when a caller should come back if no rate tells better.
	budgetRetry = 5 * time.Second
)

// budget bounds what drafts may cost the store. It is safe for concurrent use.
type budget struct {
	writes float64 // per second, over all hosts

	mu       sync.Mutex
	rate     *rate.Limiter             // guarded by mu
	bytes    int                       // guarded by mu
	accounts map[string]*accountBudget // guarded by mu
}

// accountBudget is what one account uses.
type accountBudget struct {
	rate   *rate.Limiter
	bytes  int
	drafts int // in progress
}

func newBudget(writesPerSecond float64) *budget {
	return &budget{writes: writesPerSecond, rate: newLimiter(0), accounts: make(map[string]*accountBudget)}
}

// newLimiter allows a burst of one second.
func newLimiter(perSecond rate.Limit) *rate.Limiter {
	return rate.NewLimiter(perSecond, max(1, int(perSecond)))
}

// take reserves a draft, or tells when to come back. This host may use its share
// of the writes and of the account's limit (zero for none).
func (b *budget) take(account string, size, limit, hosts int, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts = max(hosts, 1)
	share := rate.Limit(b.writes / float64(writesPerDraft*hosts))
	if b.rate.Limit() != share {
		b.rate = newLimiter(share)
	}
	used := b.accountLocked(account)
	if used.rate.Limit() != share*accountShare {
		used.rate = newLimiter(share * accountShare)
	}
	if limit > 0 && used.drafts >= (limit+hosts-1)/hosts {
		return budgetRetry, false
	}
	if b.bytes+size > maxPendingBytes || float64(used.bytes+size) > accountShare*maxPendingBytes {
		return budgetRetry, false
	}
	if delay := reserve(now, b.rate, used.rate); delay > 0 {
		return delay, false
	}
	b.addLocked(account, size)
	return 0, true
}

// reserve takes one event of all limiters, or returns how long to wait and takes
// none.
func reserve(now time.Time, limiters ...*rate.Limiter) time.Duration {
	var taken []*rate.Reservation
	var delay time.Duration
	for _, l := range limiters {
		r := l.ReserveN(now, 1)
		taken = append(taken, r)
		delay = max(delay, r.DelayFrom(now))
	}
	if delay > 0 {
		for _, r := range taken {
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

// force reserves a draft that is accepted already.
func (b *budget) force(account string, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(account, size)
}

func (b *budget) addLocked(account string, size int) {
	used := b.accountLocked(account)
	used.drafts++
	used.bytes += size
	b.bytes += size
}

// give returns what a draft used. Accounts are few and stay known, as their
// rates go on.
func (b *budget) give(account string, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := b.accountLocked(account)
	used.drafts--
	used.bytes -= size
	b.bytes -= size
}
