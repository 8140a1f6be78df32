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
	// budgetRetry is when a caller should come back if no rate tells better.
	budgetRetry = 5 * time.Second
)

// budget bounds what drafts may cost the store. It is safe for concurrent use.
type budget struct {
	writes float64 // per second, over all hosts

	mu       sync.Mutex
	rate     *rate.Limiter  // guarded by mu
	bytes    int            // guarded by mu
	accounts map[string]int // guarded by mu; drafts in progress
}

func newBudget(writesPerSecond float64) *budget {
	return &budget{writes: writesPerSecond, rate: rate.NewLimiter(0, 1), accounts: make(map[string]int)}
}

// take reserves a draft, or tells when to come back. This host may use its share
// of the writes and of the account's limit (zero for none).
func (b *budget) take(account string, size, limit, hosts int, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts = max(hosts, 1)
	share := rate.Limit(b.writes / float64(writesPerDraft*hosts))
	if b.rate.Limit() != share {
		b.rate = rate.NewLimiter(share, max(1, int(share)))
	}
	if limit > 0 && b.accounts[account] >= (limit+hosts-1)/hosts {
		return budgetRetry, false
	}
	if b.bytes+size > maxPendingBytes {
		return budgetRetry, false
	}
	reservation := b.rate.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return delay, false
	}
	b.addLocked(account, size)
	return 0, true
}

// force reserves a draft that is accepted already.
func (b *budget) force(account string, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(account, size)
}

func (b *budget) addLocked(account string, size int) {
	b.accounts[account]++
	b.bytes += size
}

func (b *budget) give(account string, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= size
	b.accounts[account]--
	if b.accounts[account] <= 0 {
		delete(b.accounts, account)
	}
}
