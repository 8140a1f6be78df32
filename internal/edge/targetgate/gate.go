// Package targetgate decides which sends may reach a target, by what targets state in their
// answers to this host, and passes on what they state: to the registry of targets, the log and
// the metrics. Package targetnotice holds the rules.
package targetgate

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targetnotice"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/edge/warmup"
)

// malformedLogInterval is the least time between two log lines about malformed headers: a
// target may send one with each answer.
const malformedLogInterval = 10 * time.Second

// Observer counts notices and refused sends as metrics.
type Observer interface {
	// ObserveTargetNotice counts an answer that states that its target leaves or wants a
	// pause, or whose statement is malformed.
	ObserveTargetNotice(kind string)
	// ObserveRefusedSend counts a send that was refused because of such an answer.
	ObserveRefusedSend(reason string)
}

// Kinds of notices in metrics.
const (
	kindLeaving   = "leaving"
	kindPause     = "pause"
	kindLimit     = "limit"
	kindBrittle   = "brittle"
	kindMalformed = "malformed"
)

// Gate implements targetconn.Gate. Its fields are set before the first send. It is safe for
// concurrent use.
type Gate struct {
	Log      *slog.Logger
	Wire     edge.Wire
	Notices  *targetnotice.Tracker
	Targets  *targets.Registry
	Observer Observer
	Warmup   *warmup.Tracker // nil if the deployment bounds nothing

	malformedLoggedAt atomic.Int64 // a bootclock.Instant
	brittleServices   sync.Map     // rejections a second that targets last stated, an int, by service
}

var _ targetconn.Gate = (*Gate)(nil)

// Check implements targetconn.Gate.
func (g *Gate) Check(incarnation string, r *targetconn.Request) targetnotice.Verdict {
	return g.decide(incarnation, r, func(now bootclock.Instant) targetnotice.Verdict {
		if now < r.PermitUntil {
			return g.Notices.CheckWithPermit(incarnation, r.Use, r.Arrived, now)
		}
		return g.Notices.Check(incarnation, r.Use, r.Arrived, now)
	})
}

// Admit implements targetconn.Gate.
func (g *Gate) Admit(incarnation string, r *targetconn.Request) (v targetnotice.Verdict, ended func(answered bool)) {
	var trial *targetnotice.Trial
	v = g.decide(incarnation, r, func(now bootclock.Instant) (v targetnotice.Verdict) {
		if now < r.PermitUntil {
			v, trial = g.Notices.AdmitWithPermit(incarnation, r.Use, r.Arrived, now)
		} else {
			v, trial = g.Notices.Admit(incarnation, r.Use, r.Arrived, now)
		}
		return v
	})
	if trial != nil {
		g.Log.Info("targets: request tries target after its pause", "target", incarnation, "request", r.ID)
	}
	return v, func(answered bool) {
		g.Notices.EndTrial(trial, answered)
		if v == targetnotice.Allowed {
			g.Notices.EndWait(incarnation, r.Use)
		}
	}
}

// decide returns the verdict on a request, and on the destination of the copy that it asks
// for.
func (g *Gate) decide(incarnation string, r *targetconn.Request, verdict func(now bootclock.Instant) targetnotice.Verdict) targetnotice.Verdict {
	now := bootclock.Now()
	g.inheritBrittle(incarnation, now)
	v := targetnotice.Allowed
	if g.evacuated(incarnation, r) {
		v = targetnotice.Evacuated
	}
	if v == targetnotice.Allowed && r.CopyTo != "" {
		v = g.Notices.Check(r.CopyTo, targetnotice.CopyDestination, 0, now)
	}
	if v == targetnotice.Allowed {
		v = verdict(now)
	}
	if v != targetnotice.Allowed {
		g.Observer.ObserveRefusedSend(v.String())
	}
	return v
}

// Observe implements targetconn.Gate. What an answer states that may be an earlier one once more could
// have ended since, but for a target's leaving.
func (g *Gate) Observe(incarnation, address string, r *targetconn.Request, status int, h http.Header, repeated bool) (leaving bool) {
	n := g.Wire.TargetNotice(status, h)
	if repeated {
		if n.Leaving && status != http.StatusMisdirectedRequest {
			g.observeLeaving(incarnation, r.ID, slog.Group("answer", "path", r.URI, "status", status))
		}
		return n.Leaving
	}
	if n.ColdStated {
		for _, key := range g.authors(incarnation, address, status) {
			g.Warmup.ObserveAnswer(key, n.Cold, bootclock.Now())
		}
		n.ColdStated, n.Cold = false, 0
	}
	limited, brittle := g.Notices.AnyLimited(), g.Notices.AnyBrittle()
	// What all answers of a target state has ended with the first answer without it.
	whole := (limited || brittle) && status >= http.StatusOK && n.Malformed == "" && (r.ID == "" || g.Wire.Signed(h) || g.Wire.NotExecuted(status, h))
	lifts := whole && limited && !n.Limited
	if n.Brittle > 0 || whole && brittle {
		g.observeBrittle(incarnation, r, &n, status, h)
	}
	if n == (edge.TargetNotice{}) && !lifts {
		return false
	}
	answer := slog.Group("answer", "request", r.ID, "path", r.URI, "status", status)
	if n.Malformed != "" {
		g.observeMalformed(incarnation, n.Malformed, answer)
	}
	for _, key := range g.authors(incarnation, address, status) {
		if n.Leaving {
			g.observeLeaving(key, r.ID, answer)
		}
		if n.Pause > 0 {
			g.observePause(key, r.ID, n.Pause, answer)
		}
		if n.Limited || lifts {
			g.observeLimit(key, r.ID, targetnotice.Limit{Stated: n.Limited, PerSecond: n.Limit}, answer)
		}
	}
	return n.Leaving
}

// authors returns the incarnations that an answer is from: a misdirected request was answered
// by whichever other target has the address now.
func (g *Gate) authors(incarnation, address string, status int) []string {
	if status == http.StatusMisdirectedRequest {
		return g.Targets.View().OthersAt(address, incarnation)
	}
	return []string{incarnation}
}

func (g *Gate) observeLeaving(incarnation, request string, answer slog.Attr) {
	g.Observer.ObserveTargetNotice(kindLeaving)
	if !g.Notices.ObserveLeaving(incarnation, bootclock.Now()) {
		return
	}
	g.Log.Info("targets: target stated that it leaves; it gets no more requests", "target", incarnation, "request", request, answer)
	g.Targets.MarkLeaving(incarnation, targets.SourceAnswer)
}

func (g *Gate) observePause(incarnation, request string, pause time.Duration, answer slog.Attr) {
	g.Observer.ObserveTargetNotice(kindPause)
	now := bootclock.Now()
	until, began := g.Notices.ObservePause(incarnation, now, pause, rand.Float64())
	if began {
		g.Log.Info("targets: target wants a pause; it gets no requests until then", "target", incarnation, "request", request,
			"retry_after_ms", pause.Milliseconds(), "until", time.Now().Add(until.Sub(now)), answer)
	}
}

func (g *Gate) observeLimit(incarnation, request string, l targetnotice.Limit, answer slog.Attr) {
	if l.Stated {
		g.Observer.ObserveTargetNotice(kindLimit)
	}
	change := g.Notices.ObserveLimit(incarnation, bootclock.Now(), l)
	if change.Changed {
		g.Log.Info("targets: target changed the limit that it names", "target", incarnation, "request", request,
			"limited", l.Stated, "per_second", l.PerSecond, "previous", change.Previous.PerSecond, "sent_recently", change.SentRecently, answer)
	}
}

// observeBrittle records whether a target is brittle, and whether it had room for the request. What
// a target states holds for its service: all its targets are brittle at a time.
func (g *Gate) observeBrittle(incarnation string, r *targetconn.Request, n *edge.TargetNotice, status int, h http.Header) {
	if status == http.StatusMisdirectedRequest {
		return // written by another target
	}
	now := bootclock.Now()
	slots, service := 1, ""
	if t := g.Targets.View().Get(incarnation); t != nil {
		slots, service = t.Slots, t.Service
	}
	if n.Brittle > 0 {
		g.Observer.ObserveTargetNotice(kindBrittle)
	}
	g.brittleServices.Store(service, n.Brittle)
	if g.Notices.ObserveBrittle(incarnation, now, n.Brittle, slots) {
		g.Log.Info("targets: target changed whether it is brittle", "target", incarnation, "request", r.ID, "rejections_per_second", n.Brittle, "slots", slots)
	}
	if !r.Use.ShowsRoom() {
		return
	}
	rejected := status == http.StatusServiceUnavailable && g.Wire.NotExecuted(status, h)
	if pause := g.Notices.ObserveRoom(incarnation, now, !rejected, rand.Float64()); pause > 0 {
		g.Log.Info("targets: brittle target has no room; it gets no requests until then", "target", incarnation, "request", r.ID,
			"pause_ms", pause.Milliseconds())
	}
}

// inheritBrittle makes a target of a brittle service count as brittle before its first answer, as
// after it has failed and started again.
func (g *Gate) inheritBrittle(incarnation string, now bootclock.Instant) {
	if !g.Notices.AnyBrittle() {
		return
	}
	t := g.Targets.View().Get(incarnation)
	if t == nil || g.Notices.Knows(incarnation) {
		return
	}
	if rejections, ok := g.brittleServices.Load(t.Service); ok && rejections.(int) > 0 {
		g.Notices.ObserveBrittle(incarnation, now, rejections.(int), t.Slots)
	}
}

func (g *Gate) observeMalformed(incarnation, malformed string, answer slog.Attr) {
	g.Observer.ObserveTargetNotice(kindMalformed)
	now, last := int64(bootclock.Now()), g.malformedLoggedAt.Load()
	if (last != 0 && now-last < int64(malformedLogInterval)) || !g.malformedLoggedAt.CompareAndSwap(last, now) {
		return
	}
	g.Log.Warn("targets: malformed header of a target ignored", "target", incarnation, "header", malformed, answer)
}
