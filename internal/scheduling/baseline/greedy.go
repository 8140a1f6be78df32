// Package baseline holds the simple policies that the experiment compares the
// product's Pool with.
package baseline

import (
	"slices"
	"time"

	"corianderhitch/internal/scheduling"
)

// chooser picks one of the usable targets, or none to keep the request waiting.
type chooser interface {
	choose(r *scheduling.Request, usable []scheduling.Target) (target string, ok bool)
	granted(r *scheduling.Request, target string)
	ended(r *scheduling.Request, target string)
}

// greedy is a Policy that serves requests in order of arrival and asks a
// chooser for the target of each.
type greedy struct {
	chooser chooser
	reason  string
	targets []scheduling.Target
	queue   []scheduling.Request
	placed  map[string]place
}

type place struct {
	request scheduling.Request
	target  string
}

var _ scheduling.Policy = (*greedy)(nil)

func newGreedy(c chooser, reason string) *greedy {
	return &greedy{chooser: c, reason: reason, placed: make(map[string]place)}
}

// SetTargets implements scheduling.Policy.
func (g *greedy) SetTargets(_ time.Time, targets []scheduling.Target) {
	g.targets = slices.Clone(targets)
}

// ObserveCache implements scheduling.Policy.
func (g *greedy) ObserveCache(time.Time, scheduling.CacheUpdate) {}

// Submit implements scheduling.Policy.
func (g *greedy) Submit(_ time.Time, r scheduling.Request) { g.queue = append(g.queue, r) }

// Cancel implements scheduling.Policy.
func (g *greedy) Cancel(_ time.Time, ticket string) {
	g.queue = slices.DeleteFunc(g.queue, func(r scheduling.Request) bool { return r.Ticket == ticket })
}

// Finish implements scheduling.Policy.
func (g *greedy) Finish(_ time.Time, finished scheduling.Finished) {
	if p, ok := g.placed[finished.Ticket]; ok {
		delete(g.placed, finished.Ticket)
		g.chooser.ended(&p.request, p.target)
	}
}

// Crashed implements scheduling.Policy.
func (g *greedy) Crashed(_ time.Time, target string) {
	for ticket, p := range g.placed {
		if p.target == target {
			delete(g.placed, ticket)
			g.chooser.ended(&p.request, target)
		}
	}
	for i := range g.targets {
		if g.targets[i].Name == target {
			g.targets[i].Healthy = false
		}
	}
}

// Decide implements scheduling.Policy.
func (g *greedy) Decide(time.Time) scheduling.Decisions {
	var d scheduling.Decisions
	for len(g.queue) > 0 {
		r := g.queue[0]
		target, ok := g.chooser.choose(&r, g.usable(&r))
		if !ok {
			break
		}
		g.queue = g.queue[1:]
		g.placed[r.Ticket] = place{request: r, target: target}
		g.chooser.granted(&r, target)
		d.Grants = append(d.Grants, scheduling.Grant{Ticket: r.Ticket, Target: target, Reason: g.reason})
	}
	return d
}

// NextDecision implements scheduling.Policy.
func (g *greedy) NextDecision(time.Time) time.Time { return time.Time{} }

// usable returns the healthy targets, without those that the request avoids
// unless no other is left.
func (g *greedy) usable(r *scheduling.Request) []scheduling.Target {
	var alive, wanted []scheduling.Target
	for _, t := range g.targets {
		if !t.Healthy || t.Leaving || t.Standby {
			continue
		}
		alive = append(alive, t)
		if !slices.Contains(r.ExcludedTargets, t.Name) {
			wanted = append(wanted, t)
		}
	}
	if len(wanted) > 0 {
		return wanted
	}
	return alive
}
