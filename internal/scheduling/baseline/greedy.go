// Package baseline implements simple scheduling policies, with which the experiment
// compares the product's scheduling.Pool.
package baseline

import (
	"slices"
	"time"

	"corianderhitch/internal/scheduling"
)

// chooser chooses targets for greedy.
type chooser interface {
	// choose returns one of the usable targets, or false to keep the request waiting.
	choose(r *scheduling.Request, usable []scheduling.Target) (target string, ok bool)
	// granted is called when the request is granted the target.
	granted(r *scheduling.Request, target string)
	// ended is called when the granted request has finished or its target has crashed.
	ended(r *scheduling.Request, target string)
}

// greedy is a scheduling.Policy that grants requests in order of arrival, each on the
// target that the chooser returns. A request without a target blocks those behind it.
type greedy struct {
	chooser    chooser
	reason     string // of all grants
	targets    []scheduling.Target
	queue      []scheduling.Request
	placements map[string]placement
}

// placement is a granted request with its target.
type placement struct {
	request scheduling.Request
	target  string
}

var _ scheduling.Policy = (*greedy)(nil)

func newGreedy(c chooser, reason string) *greedy {
	return &greedy{chooser: c, reason: reason, placements: make(map[string]placement)}
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
	if p, ok := g.placements[finished.Ticket]; ok {
		delete(g.placements, finished.Ticket)
		g.chooser.ended(&p.request, p.target)
	}
}

// Crashed implements scheduling.Policy.
func (g *greedy) Crashed(_ time.Time, target string) {
	for ticket, p := range g.placements {
		if p.target == target {
			delete(g.placements, ticket)
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
		g.placements[r.Ticket] = placement{request: r, target: target}
		g.chooser.granted(&r, target)
		d.Grants = append(d.Grants, scheduling.Grant{Ticket: r.Ticket, Target: target, Reason: g.reason})
	}
	return d
}

// NextDecision implements scheduling.Policy.
func (g *greedy) NextDecision(time.Time) time.Time { return time.Time{} }

// usable returns the targets that accept requests, without those that the request
// excludes unless no other is left.
func (g *greedy) usable(r *scheduling.Request) []scheduling.Target {
	var available, preferred []scheduling.Target
	for _, t := range g.targets {
		if !t.Healthy || t.Leaving || t.Standby {
			continue
		}
		available = append(available, t)
		if !slices.Contains(r.ExcludedTargets, t.Name) {
			preferred = append(preferred, t)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return available
}
