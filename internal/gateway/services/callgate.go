package services

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"corianderhitch/api/problem"
	"corianderhitch/api/service"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/limitshare"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/platform"
)

const (
	// minGateRetryAfter is the shortest Retry-After while no target of a service may be sent a call.
	minGateRetryAfter = 500 * time.Millisecond
)

// callGate decides which targets may be sent a call, by what they state in their answers: it keeps this
// gateway within its share of the limits that they name. It is safe for concurrent
// use.
type callGate struct {
	gateways func() []string
	shares   *limitshare.Shares
	notices  *targetnotice.Tracker
	log      *slog.Logger
}

func newCallGate(host string, gateways func() []string, log *slog.Logger) *callGate {
	g := &callGate{gateways: gateways, shares: limitshare.New(host, gateways), notices: targetnotice.New(), log: log}
	g.notices.Share = g.shares.Of
	return g
}

// restricts reports whether a target has named a limit. It is cheap.
func (g *callGate) restricts() bool { return g.notices.AnyLimited() }

// observeFleet counts the gateways among which limits are divided. Callers call it before a
// choice.
func (g *callGate) observeFleet(now bootclock.Instant) {
	if g.restricts() {
		g.shares.ObserveSize(now, len(g.gateways()))
	}
}

// permitted returns the targets that may be sent a call now.
func (g *callGate) permitted(targets []platform.Target, now bootclock.Instant) []platform.Target {
	if !g.restricts() {
		return targets
	}
	var out []platform.Target
	for _, t := range targets {
		if g.notices.Check(t.Name, targetnotice.Request, now, now) == targetnotice.Allowed {
			out = append(out, t)
		}
	}
	return out
}

// take counts a call that is about to be sent, if it may be.
func (g *callGate) take(target string, now bootclock.Instant) bool {
	v, trial := g.notices.Admit(target, targetnotice.Request, now, now)
	g.notices.EndTrial(trial, true) // services ask for no pauses
	g.notices.EndWait(target, targetnotice.Request)
	return v == targetnotice.Allowed
}

// observe records what an answer of a target says of its limit.
func (g *callGate) observe(target string, h http.Header) {
	perSecond, named, err := service.RequestLimit(h)
	if err != nil {
		g.log.Debug("limit of a target cannot be read", "target", target, "error", err)
		return
	}
	change := g.notices.ObserveLimit(target, bootclock.Now(), targetnotice.Limit{Stated: named, PerSecond: perSecond})
	if change.Changed {
		g.log.Info("target changed the limit that it names", "target", target, "limited", named, "per_second", perSecond,
			"previous", change.Previous.PerSecond, "sent_recently", change.SentRecently)
	}
}

// rejection returns the rejection of a call whose targets may all be sent no more; nil if there is no
// such target.
func (g *callGate) rejection(serviceName string, targets []platform.Target, now bootclock.Instant) *problem.Error {
	first, restricted := time.Duration(0), false
	for _, t := range targets {
		if g.notices.Check(t.Name, targetnotice.Request, now, now) != targetnotice.Limited {
			continue
		}
		left, _ := g.notices.PermitLeft(t.Name, now)
		if !restricted || left < first {
			first = left
		}
		restricted = true
	}
	if !restricted {
		return nil
	}
	spread := time.Duration(rand.Float64() * float64(max(first/2, minGateRetryAfter)))
	return problem.New(problem.KindOverloaded, http.StatusServiceUnavailable, problem.RanNo, "come back after the named time",
		"the targets of the service %q take no more calls now, by the limits that they name", serviceName).
		WithRetryAfter(max(first, minGateRetryAfter) + spread)
}
