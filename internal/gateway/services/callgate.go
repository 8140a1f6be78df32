package services

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
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
	// maxRoomWait is how long a call waits for the end of another one at a brittle target, and
	// waitersPerCall how many wait for each such call; more are rejected at once.
	maxRoomWait    = 500 * time.Millisecond
	waitersPerCall = 2
)

// callGate decides which targets may be sent a call, by what they state in their answers: it keeps this
// gateway within its share of the limits and of the room that they name. It is safe for concurrent
// use.
type callGate struct {
	gateways func() []string
	shares   *limitshare.Shares
	notices  *targetnotice.Tracker
	log      *slog.Logger

	mu      sync.Mutex
	running map[string]int // guarded by mu; calls without an answer at brittle targets, by target
	waiting map[string]int // guarded by mu; calls that wait for room, by service
	freed   chan struct{}  // guarded by mu; closed and replaced when a call at a brittle target ends
}

func newCallGate(host string, gateways func() []string, log *slog.Logger) *callGate {
	g := &callGate{gateways: gateways, shares: limitshare.New(host, gateways), notices: targetnotice.New(), log: log,
		running: make(map[string]int), waiting: make(map[string]int), freed: make(chan struct{})}
	g.notices.Share = g.shares.Of
	return g
}

// restricts reports whether a target has named a limit or is brittle. It is cheap.
func (g *callGate) restricts() bool { return g.notices.AnyLimited() || g.notices.AnyBrittle() }

// observeFleet counts the gateways among which limits and room are divided. Callers call it before a
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

// take counts a call that is about to be sent, if it may be. ended must be called once the call has been
// answered or lost.
func (g *callGate) take(target string, now bootclock.Instant) (ended func(), ok bool) {
	v, trial := g.notices.Admit(target, targetnotice.Request, now, now)
	g.notices.EndTrial(trial, true) // services ask for no pauses
	if v != targetnotice.Allowed {
		return nil, false
	}
	if !g.notices.IsBrittle(target) {
		return func() { g.notices.EndWait(target, targetnotice.Request) }, true
	}
	g.mu.Lock()
	g.running[target]++
	g.mu.Unlock()
	return func() {
		g.notices.EndWait(target, targetnotice.Request)
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.running[target]--; g.running[target] == 0 {
			delete(g.running, target)
		}
		close(g.freed)
		g.freed = make(chan struct{})
	}, true
}

// roomWait is the wait of one call for room at the targets of a service.
type roomWait struct {
	gate     *callGate
	service  string
	targets  []platform.Target
	deadline time.Time
	counted  bool
}

// next waits until a call of this gateway at one of the brittle targets has ended. It returns false if the
// call is to be rejected: nothing it waits for can end soon, or it has waited for maxRoomWait.
func (w *roomWait) next(ctx context.Context) bool {
	g := w.gate
	g.mu.Lock()
	running, freed := 0, g.freed
	for _, t := range w.targets {
		running += g.running[t.Name]
	}
	worthwhile := running > 0 && (w.counted || g.waiting[w.service] < waitersPerCall*running)
	if worthwhile && !w.counted {
		w.counted, w.deadline = true, time.Now().Add(maxRoomWait)
		g.waiting[w.service]++
	}
	g.mu.Unlock()
	if !worthwhile {
		return false
	}
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case <-freed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// end ends the wait.
func (w *roomWait) end() {
	if !w.counted {
		return
	}
	w.gate.mu.Lock()
	defer w.gate.mu.Unlock()
	if w.gate.waiting[w.service]--; w.gate.waiting[w.service] == 0 {
		delete(w.gate.waiting, w.service)
	}
}

// observe records what an answer of a target says of its limit and of its room.
func (g *callGate) observe(target string, h http.Header) {
	perSecond, named, err := service.RequestLimit(h)
	brittle, brittleErr := service.ReadBrittleness(h)
	if err != nil || brittleErr != nil {
		g.log.Debug("statement of a target cannot be read", "target", target, "limit_error", err, "brittle_error", brittleErr)
	}
	now := bootclock.Now()
	if err == nil {
		change := g.notices.ObserveLimit(target, now, targetnotice.Limit{Stated: named, PerSecond: perSecond})
		if change.Changed {
			g.log.Info("target changed the limit that it names", "target", target, "limited", named, "per_second", perSecond,
				"previous", change.Previous.PerSecond, "sent_recently", change.SentRecently)
		}
	}
	if brittleErr == nil && g.notices.ObserveBrittle(target, now, brittle.Rejections, brittle.Room) {
		g.log.Info("target changed how many rejections it bears", "target", target, "rejections", brittle.Rejections, "room", brittle.Room)
	}
}

// observeRoom records whether a target had room for a call.
func (g *callGate) observeRoom(target string, accepted bool) {
	if pause := g.notices.ObserveRoom(target, bootclock.Now(), accepted, rand.Float64()); pause > 0 {
		g.log.Info("brittle target had no room; it gets no calls for a while", "target", target, "pause_ms", pause.Milliseconds())
	}
}

// rejection returns the rejection of a call whose targets may all be sent no more; nil if there is no
// such target.
func (g *callGate) rejection(serviceName string, targets []platform.Target, now bootclock.Instant) *problem.Error {
	first, restricted := time.Duration(0), false
	for _, t := range targets {
		v := g.notices.Check(t.Name, targetnotice.Request, now, now)
		if v != targetnotice.Limited && v != targetnotice.NoRoom {
			continue
		}
		left, _ := g.notices.PermitLeft(t.Name, now)
		left = max(left, g.notices.FullLeft(t.Name, now))
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
		"the targets of the service %q take no more calls now, by the limits and the room that they name", serviceName).
		WithRetryAfter(max(first, minGateRetryAfter) + spread)
}
