package edge

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/quarantine"
)

// ErrHeld means that a request was not sent, since it has something in common with others
// under which targets crashed.
var ErrHeld = errors.New("edge: not sent, since targets crashed under requests like it")

const (
	// minHeldRetryAfter and maxHeldRetryAfter bound the Retry-After of held requests: a
	// hold may also end early.
	minHeldRetryAfter = time.Second
	maxHeldRetryAfter = 30 * time.Second
)

// CrashGuard keeps requests that crash targets from being sent, and collects the evidence.
// It is safe for concurrent use. A nil guard holds nothing back.
type CrashGuard struct {
	Tracker *quarantine.Tracker
	// OnEvidence is called without locks held when other hosts should hear of new evidence.
	OnEvidence func()

	mu      sync.Mutex
	waiting map[*waitingCall]struct{} // guarded by mu
}

// waitingCall is a call that waits for a target.
type waitingCall struct {
	call   *AuthorizedCall
	cancel context.CancelFunc
}

func instant(i bootclock.Instant) quarantine.Instant { return quarantine.Instant(i) }

// crashKeys returns what the call may have in common with others that crash targets, from
// the least to the most specific.
func (a *AuthorizedCall) crashKeys() []quarantine.Key {
	a.crashKeysOnce.Do(func() {
		c := a.Call
		host := c.Host
		if a.Route != nil {
			host = a.Route.Host // callers write it with or without port, in any case
		}
		body := c.Body
		if body == nil {
			body = []byte{} // the key of a request without a body has an empty field for it
		}
		var fields []string
		for _, part := range c.Generation.SharedParts() {
			a.crashKeysList = append(a.crashKeysList, quarantine.Part(part.ID))
		}
		if g := c.Generation; g != nil {
			fields = append(fields, strconv.Itoa(g.PromptTokens), strconv.Itoa(g.MaxOutputTokens), strconv.Itoa(g.LengthHint))
			for _, part := range g.Prefix {
				fields = append(fields, part.ID, strconv.Itoa(part.Tokens))
			}
		}
		a.crashKeysList = append(a.crashKeysList, quarantine.RequestWithBody([]string{c.Method, host, c.URI, a.Account}, body, fields...))
	})
	return a.crashKeysList
}

// Fingerprint returns the same text for a call that its caller sends again with another id.
func (a *AuthorizedCall) Fingerprint() string {
	keys := a.crashKeys()
	return keys[len(keys)-1].ID
}

// Check returns the rejection of a call that is held back, and the key because of which it is;
// nil if it may be sent.
func (g *CrashGuard) Check(a *AuthorizedCall) (rejection *Rejection, key string) {
	if g == nil {
		return nil, ""
	}
	now := instant(bootclock.Now())
	hold := g.Tracker.Check(now, a.crashKeys())
	if hold == nil {
		return nil, ""
	}
	left := g.Tracker.RetryAfter(now, hold)
	return Unavailable(ReasonCrashSuspect, min(max(left, minHeldRetryAfter), maxHeldRetryAfter)), hold.Key.String()
}

// admit returns ErrHeld if the call must not be sent now.
func (g *CrashGuard) admit(a *AuthorizedCall) error {
	if g == nil || g.Tracker.Admit(instant(bootclock.Now()), a.crashKeys()) == nil {
		return nil
	}
	return ErrHeld
}

// ReportFailure records that the answer to a call ended, or did not begin, although its
// target had to give it: the target may have crashed under the call. err is why, nil for silence.
func (g *CrashGuard) ReportFailure(a *AuthorizedCall, incarnation string, err error) {
	if g == nil {
		return
	}
	report, now := g.Tracker.ReportFailure, instant(bootclock.Now())
	if errors.Is(err, targetconn.ErrResetAtOnce) {
		report = g.Tracker.ReportDoubtfulFailure
	}
	if report(now, now, incarnation, a.crashKeys()) {
		g.OnEvidence()
	}
}

// ReportSurvival records that a target answered a call in full, or for long enough, and when
// the answer began.
func (g *CrashGuard) ReportSurvival(a *AuthorizedCall, incarnation string, sentAt, began bootclock.Instant) {
	if g == nil {
		return
	}
	if g.Tracker.ReportSurvival(instant(bootclock.Now()), instant(sentAt), instant(began), incarnation, a.crashKeys()) {
		g.OnEvidence()
	}
}

// ReportAlive records that a target answered what was sent to it at the given instant, so that it had not
// crashed before, whatever the answer says about the call.
func (g *CrashGuard) ReportAlive(incarnation string, sentAt bootclock.Instant) {
	if g == nil {
		return
	}
	if g.Tracker.ReportSurvival(instant(bootclock.Now()), instant(sentAt), instant(sentAt), incarnation, nil) {
		g.OnEvidence()
	}
}

// EndWaitWhenHeld returns a context that also ends when the call becomes held back. The
// returned function must be called once the call does not wait any more.
func (g *CrashGuard) EndWaitWhenHeld(ctx context.Context, a *AuthorizedCall) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if g == nil {
		return ctx, cancel
	}
	w := &waitingCall{a, cancel}
	g.mu.Lock()
	if g.waiting == nil {
		g.waiting = make(map[*waitingCall]struct{})
	}
	g.waiting[w] = struct{}{}
	g.mu.Unlock()
	return ctx, func() {
		g.mu.Lock()
		delete(g.waiting, w)
		g.mu.Unlock()
		cancel()
	}
}

// EndHeldWaits ends the waits of the calls that are held back now.
func (g *CrashGuard) EndHeldWaits() {
	g.mu.Lock()
	waiting := slices.Collect(maps.Keys(g.waiting))
	g.mu.Unlock()
	for _, w := range waiting { // Check may report a change, which calls this method again
		if rejection, _ := g.Check(w.call); rejection != nil {
			w.cancel()
		}
	}
}
