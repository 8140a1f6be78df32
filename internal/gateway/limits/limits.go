// Package limits bounds the requests of client accounts at one gateway. It is a
// second line behind the owners' limits, which count over all gateways: a single
// gateway never lets through more than the whole limit of an account.
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

// burst is the time whose requests may come at once.
const burst = 1 * time.Second

// concurrentRetry is when a caller at its limit of concurrent requests should
// come back.
const concurrentRetry = 500 * time.Millisecond

// Limiter bounds accounts. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	accounts map[string]*account // guarded by mu
}

type account struct {
	limits   document.Limits
	requests *rate.Limiter
	running  int
}

// New returns a Limiter without accounts.
func New() *Limiter { return &Limiter{accounts: make(map[string]*account)} }

// Enter takes a request of an account under its limits in force, or returns a
// *problem.Error. The returned function ends the request.
func (l *Limiter) Acquire(name string, limits document.Limits, now time.Time) (leave func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		a = &account{requests: rate.NewLimiter(rate.Inf, 1)}
		l.accounts[name] = a
	}
	if a.limits != limits || a.requests.Limit() == rate.Inf {
		a.limits = limits
		a.setRate(now)
	}
	if limits.Concurrent > 0 && a.running >= limits.Concurrent {
		return nil, refuse("concurrent requests", concurrentRetry)
	}
	reservation := a.requests.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return nil, refuse("requests per second", delay)
	}
	a.running++
	return sync.OnceFunc(func() { l.leave(a) }), nil
}

func (l *Limiter) leave(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.running--
}

func (a *account) setRate(now time.Time) {
	perSecond := a.limits.RequestsPerSecond
	if perSecond <= 0 {
		a.requests.SetLimitAt(now, rate.Inf)
		return
	}
	a.requests = rate.NewLimiter(rate.Limit(perSecond), int(math.Max(1, math.Ceil(perSecond*burst.Seconds()))))
}

func refuse(limit string, retry time.Duration) *problem.Error {
	return problem.New(problem.KindAccountLimited, http.StatusTooManyRequests, problem.RanNo,
		"come back after the named time, or ask the operator for a higher limit",
		"the account's limit of %s is reached", limit).WithRetryAfter(retry)
}
