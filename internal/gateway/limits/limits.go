// Package limits enforces the request limits of client accounts at one gateway. The
// owners of pools enforce the same limits over all gateways; this package is a second
// line of defense, which keeps a single gateway from admitting more than an account's
// whole limit.
package limits

import (
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"corianderhitch/api/problem"
	"corianderhitch/internal/document"
)

// burstWindow sets the burst of the rate limit: as many requests as the limit allows in
// this time may arrive at once.
const burstWindow = 1 * time.Second

// concurrentRetryAfter is the Retry-After for an account at its limit of concurrent
// requests.
const concurrentRetryAfter = 500 * time.Millisecond

// Limiter limits the requests of accounts. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	accounts map[string]*account // guarded by mu
}

type account struct {
	limiter    *rate.Limiter // nil while the account has never had a rate
	inProgress int
}

// New returns a Limiter without accounts.
func New() *Limiter { return &Limiter{accounts: make(map[string]*account)} }

// Acquire admits a request of an account under the limits now in force, or returns a
// *problem.Error with the time to retry after. A limit of 0 or less means none. The
// caller must call release when the request ends; further calls have no effect.
func (l *Limiter) Acquire(name string, limits document.Limits, now time.Time) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		a = &account{}
		l.accounts[name] = a
	}
	if limits.Concurrent > 0 && a.inProgress >= limits.Concurrent {
		return nil, limitReached("concurrent requests", concurrentRetryAfter)
	}
	if limits.RequestsPerSecond > 0 {
		a.setRate(now, limits.RequestsPerSecond)
		reservation := a.limiter.ReserveN(now, 1)
		if delay := reservation.DelayFrom(now); delay > 0 {
			reservation.CancelAt(now)
			return nil, limitReached("requests per second", delay)
		}
	}
	a.inProgress++
	return sync.OnceFunc(func() { l.release(a) }), nil
}

func (l *Limiter) release(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.inProgress--
}

// setRate puts a rate in force. What has been used of an earlier one stays used, so that no
// change of the limits grants a burst.
func (a *account) setRate(now time.Time, perSecond float64) {
	burst := int(math.Max(1, math.Ceil(perSecond*burstWindow.Seconds())))
	switch {
	case a.limiter == nil:
		a.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	case a.limiter.Limit() != rate.Limit(perSecond):
		a.limiter.SetLimitAt(now, rate.Limit(perSecond))
		a.limiter.SetBurstAt(now, burst)
	}
}

func limitReached(limit string, retryAfter time.Duration) *problem.Error {
	return problem.New(problem.KindAccountLimited, http.StatusTooManyRequests, problem.RanNo,
		"come back after the named time, or ask the operator for a higher limit",
		"the account's limit of %s is reached", limit).WithRetryAfter(retryAfter)
}
