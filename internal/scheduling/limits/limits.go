// Package limits enforces the rate, concurrency and queue limits of client
// accounts. The owner of a pool keeps their state in memory, so that all gateways
// share the limits without writing to a store.
package limits

import (
	"time"

	"golang.org/x/time/rate"

	"corianderhitch/internal/document"
)

// Reason is the limit that a request has reached.
type Reason string

// The limits of an account. None means that no limit is reached.
const (
	None        Reason = ""
	RequestRate Reason = "requestsPerSecond"
	TokenRate   Reason = "tokensPerMinute"
	Queue       Reason = "queued"
	Concurrent  Reason = "concurrent"
)

const (
	// requestBurst is the time over which an account accumulates unused request
	// rate.
	requestBurst = time.Second
	// tokenBurst is the same for tokens. It is longer because each request uses
	// many tokens at once.
	tokenBurst = time.Minute
	// maxStartWait bounds how long an account waits for its first request because another
	// process may have used its rate. A slower rate than one request in that time allows a
	// request more for each such process.
	maxStartWait = time.Second
	// startTokens is the time over which the account has accumulated tokens in that case, so
	// that it may start a request at once.
	startTokens = time.Second
)

// MaxBurst is the time after which an account that used nothing has all of its rates.
const MaxBurst = max(requestBurst, tokenBurst)

// Accounts holds the limits of all accounts and how far they are used. It is not
// safe for concurrent use.
type Accounts struct {
	limits    map[string]document.Limits
	states    map[string]*accountState
	usedUntil time.Time // until when another process may have used the rates; zero for never
}

type accountState struct {
	requests *rate.Limiter // nil while the account has never had this limit
	tokens   *rate.Limiter // as requests
	running  int
}

// New returns Accounts with the given limits by account name. Accounts that are
// not listed have no limits. Another process may have used their rates in full until
// usedUntil; the zero time stands for never.
func New(limits map[string]document.Limits, usedUntil time.Time) *Accounts {
	return &Accounts{limits: limits, states: make(map[string]*accountState), usedUntil: usedUntil}
}

// TakeOver records that another process may have used the rates in full until now.
func (a *Accounts) TakeOver(now time.Time) {
	a.usedUntil = now
	for _, s := range a.states {
		s.requests, s.tokens = inDebt(s.requests, now), inDebt(s.tokens, now)
	}
}

// inDebt returns the limiter if nothing is left of its rate, and nil otherwise.
func inDebt(l *rate.Limiter, now time.Time) *rate.Limiter {
	if l == nil || l.TokensAt(now) > 0 {
		return nil
	}
	return l
}

// Admit checks a new request of an account that has the given number of waiting
// requests against the rate and queue limits, and counts it against the request
// rate. It returns the limit that the request has reached, or None, and for rate
// limits how long to wait before a retry.
func (a *Accounts) Admit(now time.Time, account string, waiting int) (Reason, time.Duration) {
	l, ok := a.limits[account]
	if !ok {
		return None, 0
	}
	if l.Queued > 0 && waiting >= l.Queued {
		return Queue, 0
	}
	s := a.stateOf(account)
	s.setRates(now, l, a.usedUntil)
	if l.TokensPerMinute > 0 && s.tokens.TokensAt(now) <= 0 {
		return TokenRate, timeToRefill(1-s.tokens.TokensAt(now), float64(s.tokens.Limit()))
	}
	if l.RequestsPerSecond > 0 && !s.requests.AllowN(now, 1) {
		return RequestRate, timeToRefill(1-s.requests.TokensAt(now), float64(s.requests.Limit()))
	}
	return None, 0
}

// MayRun reports whether the account may run one more request.
func (a *Accounts) MayRun(account string) bool {
	l, ok := a.limits[account]
	return !ok || l.Concurrent == 0 || a.stateOf(account).running < l.Concurrent
}

// Started counts a granted request against the concurrency limit.
func (a *Accounts) Started(account string) {
	a.stateOf(account).running++
}

// Ended removes a granted request from the concurrency count and charges its
// output tokens to the token rate.
func (a *Accounts) Ended(now time.Time, account string, tokens int) {
	s := a.stateOf(account)
	s.running = max(0, s.running-1)
	l, ok := a.limits[account]
	if !ok {
		return
	}
	s.setRates(now, l, a.usedUntil)
	if l.TokensPerMinute > 0 {
		s.tokens.ReserveN(now, min(tokens, s.tokens.Burst()))
	}
}

func (a *Accounts) stateOf(account string) *accountState {
	s := a.states[account]
	if s == nil {
		s = &accountState{}
		a.states[account] = s
	}
	return s
}

// setRates puts the rates of the limits in force. Another process may have used them in
// full until usedUntil; the zero time stands for never.
func (s *accountState) setRates(now time.Time, l document.Limits, usedUntil time.Time) {
	s.requests = withRate(s.requests, now, l.RequestsPerSecond, requestBurst, func(perSecond float64) time.Time {
		return usedUntil.Add(-max(0, timeToRefill(1, perSecond)-maxStartWait))
	})
	s.tokens = withRate(s.tokens, now, l.TokensPerMinute/time.Minute.Seconds(), tokenBurst, func(float64) time.Time {
		return usedUntil.Add(-startTokens)
	})
}

// withRate returns the limiter with another rate, or for nil one that was empty at the time
// that emptyAt returns. What has been used stays used, so that no change of the rate grants
// a burst. A rate of zero, which stands for no limit, leaves the limiter as it is.
func withRate(l *rate.Limiter, now time.Time, perSecond float64, burstTime time.Duration, emptyAt func(perSecond float64) time.Time) *rate.Limiter {
	if perSecond <= 0 || (l != nil && l.Limit() == rate.Limit(perSecond)) {
		return l
	}
	burst := max(1, int(perSecond*burstTime.Seconds()))
	if l == nil {
		l = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.AllowN(emptyAt(perSecond), burst)
		return l
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, burst)
	return l
}

// timeToRefill returns how long a rate of perSecond takes to supply the amount.
func timeToRefill(amount, perSecond float64) time.Duration {
	return time.Duration(max(0, amount) / perSecond * float64(time.Second))
}

// Configure replaces the limits. The counts of running requests are kept, and so is
// what has been used of the rates.
func (a *Accounts) Configure(limits map[string]document.Limits) { a.limits = limits }
