package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"corianderhitch/platform/standin"
)

// sighting is what the targets saw of one request.
type sighting struct {
	at      time.Time // of the arrival
	end     time.Time // of the work; drafts only
	target  *target
	anew    bool // it did not go on from a copy
	account string
}

// sightings returns what all targets saw, by request.
func (w *world) sightings() map[string][]sighting {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string][]sighting)
	for _, t := range w.targets {
		if t.engine != nil {
			for _, s := range t.engine.Spans() {
				out[s.ID] = append(out[s.ID], sighting{at: s.From, end: s.To, target: t, anew: s.FromStart})
			}
			continue
		}
		for _, a := range t.desk.Requests() {
			if a.ExpectedTarget() == t.id {
				out[a.ID()] = append(out[a.ID()], sighting{at: a.ReceivedAt, end: a.ReceivedAt, target: t, anew: true, account: a.Account()})
			}
		}
	}
	for _, all := range out {
		sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	}
	return out
}

// check holds what callers and targets saw against the promises.
func (w *world) check(outcomes []outcome) {
	seen := w.sightings()
	ended := make(map[string]int)
	for i := range outcomes {
		o := &outcomes[i]
		ended[fmt.Sprintf("%s %d", o.route, o.status)]++
		for promise, broken := range map[string]string{
			"whole answers":       o.whole(),
			"at most once":        w.once(o, seen[o.id]),
			"truthful refusals":   o.truthful(seen[o.id]),
			"one engine at once":  w.oneEngine(o, seen[o.id]),
			"withdrawn keys":      w.withdrawn(o, seen[o.id]),
			"drained targets":     w.leftAlone(o, seen[o.id]),
			"planned stops":       w.cutsNothing(o, seen[o.id]),
			"configuration":       w.applied(o, seen[o.id]),
			"client account":      otherAccount(seen[o.id]),
			"refusals say when":   o.saysWhen(),
			"answers in time":     o.inTime(),
			"nothing else denied": w.denied(o),
		} {
			if broken != "" {
				w.t.Errorf("%s: request %s (%s) sent at %s: %s", promise, o.id, o.route, o.sent.Format(clock), broken)
			}
		}
	}
	w.neverOlder(outcomes, seen)
	w.recovers(outcomes)
	w.t.Logf("%d requests: %v; %d versions, %d keys withdrawn, %d targets", len(outcomes), ended, len(w.versions), len(w.removed), len(w.targets))
}

// clock is the form of times in messages, that of the logs.
const clock = "15:04:05.000"

// whole checks that a success is the target's whole answer, and that one that
// broke off is a part of it.
func (o *outcome) whole() string {
	if o.status != http.StatusOK {
		return ""
	}
	want := "done " + o.id
	if o.route == "draft" {
		want = standin.StreamText(o.id, o.events)
	}
	switch {
	case !o.signed:
		return "a success without signature"
	case o.err == nil && o.body != want:
		return fmt.Sprintf("the answer has %d bytes and looks whole; the target's has %d", len(o.body), len(want))
	case o.err != nil && !strings.HasPrefix(want, o.body):
		return "the part that came is not the target's"
	}
	return ""
}

func (w *world) once(o *outcome, seen []sighting) string {
	if o.route != "hold" && o.route != "draft" {
		return ""
	}
	runs := 0
	for _, s := range seen {
		if s.anew {
			runs++
		}
	}
	if runs > 1 {
		return fmt.Sprintf("ran %d times", runs)
	}
	return ""
}

// truthful checks that what was said not to have run has not.
func (o *outcome) truthful(seen []sighting) string {
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(seen) > 0 {
			return fmt.Sprintf("status %d, and %s got it at %s", o.status, seen[0].target.id, seen[0].at.Format(clock))
		}
	}
	return ""
}

func (o *outcome) saysWhen() string {
	if o.status == http.StatusServiceUnavailable && o.retryAfter == "" {
		return "503 without Retry-After"
	}
	return ""
}

// inTime checks that a caller is answered by its deadline, unless its host was
// disturbed.
func (o *outcome) inTime() string {
	if took := o.ended.Sub(o.sent); o.status != 0 && took > callDeadline+time.Second {
		return fmt.Sprintf("answered after %v", took)
	}
	return ""
}

// oneEngine checks that a run goes on elsewhere only after the engine before has
// stopped, or has become unreachable.
func (w *world) oneEngine(o *outcome, seen []sighting) string {
	for i := 1; i < len(seen); i++ {
		before, s := seen[i-1], seen[i]
		if o.route != "draft" || before.end.Sub(s.at) <= sameRun {
			continue
		}
		if !w.troubles.near(before.at, s.at, "", o.host.name, before.target.id) {
			return fmt.Sprintf("%s works on it for %v beside %s", before.target.id, before.end.Sub(s.at), s.target.id)
		}
	}
	return ""
}

func (w *world) withdrawn(o *outcome, seen []sighting) string {
	for _, r := range w.removed {
		if r.key == o.key && len(seen) > 0 && o.sent.After(r.acked.Add(revokeWithin)) {
			return fmt.Sprintf("its key was withdrawn at %s, and %s got it at %s", r.acked.Format(clock), seen[0].target.id, seen[0].at.Format(clock))
		}
	}
	return ""
}

// leftAlone checks that hosts in touch send nothing to a target that leaves.
func (w *world) leftAlone(o *outcome, seen []sighting) string {
	for _, s := range seen {
		if s.target.drained.IsZero() || !s.at.After(s.target.drained.Add(drainWithin+scheduling)) {
			continue
		}
		if !w.troubles.near(s.target.drained, s.at, "", o.host.name, theStore) {
			return fmt.Sprintf("%s leaves since %s and got it at %s", s.target.id, s.target.drained.Format(clock), s.at.Format(clock))
		}
	}
	return ""
}

// cutsNothing checks that a planned stop or a change of the settings cuts nothing
// that a target got.
func (w *world) cutsNothing(o *outcome, seen []sighting) string {
	if o.status != 0 || len(seen) == 0 {
		return ""
	}
	subjects := []string{o.host.name, theStore}
	for _, s := range seen {
		subjects = append(subjects, s.target.id)
	}
	for _, stop := range w.troubles.list(plannedStop) {
		// What takes longer than the grace period may be cut at its end.
		during := stop.subject == o.host.name && o.sent.After(stop.from.Add(-grace/2)) && o.sent.Before(stop.from.Add(grace/2)) && o.ended.After(stop.from)
		if during && !w.troubles.near(o.sent, o.ended, plannedStop, subjects...) {
			return fmt.Sprintf("its host was stopped as planned at %s, and %s got it, but the caller got %v", stop.from.Format(clock), seen[0].target.id, o.err)
		}
	}
	return ""
}

// applied checks that hosts in touch route by a version that is in force.
func (w *world) applied(o *outcome, seen []sighting) string {
	if o.route != "switch" || len(seen) == 0 {
		return ""
	}
	if w.versionOf(o, seen[0]) != 0 || w.troubles.near(o.sent.Add(-applyWithin), o.ended, "", o.host.name, theStore) {
		return ""
	}
	return seen[0].target.service + " got it, which no version in force allows"
}

// versionOf returns the newest version that allows what the target saw and was
// in force while the request was open, 0 if there is none.
func (w *world) versionOf(o *outcome, s sighting) int {
	newest := 0
	for i, v := range w.versions {
		replaced := i+1 < len(w.versions) && o.sent.After(w.versions[i+1].acked.Add(applyWithin+scheduling))
		if annex(v.number) == s.target.service && v.sent.Before(s.at) && !replaced {
			newest = v.number
		}
	}
	return newest
}

// neverOlder checks that no process goes back to an older version. Two versions
// that route alike are three apart.
func (w *world) neverOlder(outcomes []outcome, seen map[string][]sighting) {
	type use struct {
		o       *outcome
		version int
	}
	uses := make(map[*host][]use)
	for i := range outcomes {
		o := &outcomes[i]
		if o.route != "switch" || len(seen[o.id]) == 0 {
			continue
		}
		if v := w.versionOf(o, seen[o.id][0]); v != 0 {
			uses[o.host] = append(uses[o.host], use{o, v})
		}
	}
	for h, all := range uses {
		sort.Slice(all, func(i, j int) bool { return all[i].o.sent.Before(all[j].o.sent) })
		for i, later := range all {
			for _, earlier := range all[:i] {
				at := seen[earlier.o.id][0].at
				if later.o.sent.After(at.Add(rollbackSlack)) && later.version < earlier.version && !h.restarted(at, later.o.ended) &&
					!w.troubles.near(at, later.o.ended, "", h.name) {
					w.t.Errorf("configuration: %s was at version %d at %s and routed %s by version %d", h.name, earlier.version, at.Format(clock), later.o.id, later.version)
				}
			}
		}
	}
}

func (h *host) restarted(from, to time.Time) bool {
	for _, began := range h.began {
		if began.After(from) && began.Before(to) {
			return true
		}
	}
	return false
}

func otherAccount(seen []sighting) string {
	for _, s := range seen {
		if s.account != "" && s.account != account {
			return "forwarded for the client account " + s.account
		}
	}
	return ""
}

// denied checks that nobody with a key in force is turned away for it.
func (w *world) denied(o *outcome) string {
	switch o.status {
	case http.StatusUnauthorized:
		for _, r := range w.removed {
			if r.key == o.key && o.ended.After(r.acked.Add(-scheduling)) {
				return ""
			}
		}
		fresh := o.sent.Before(w.added[o.key].Add(applyWithin + scheduling))
		if fresh || w.troubles.near(o.sent.Add(-applyWithin), o.ended, "", o.host.name, theStore) {
			return "" // it may not have heard of the key yet
		}
		return "401 with a key in force"
	case http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Sprintf("status %d", o.status)
	}
	return ""
}

// recovers checks that after the last fault callers are served as before.
func (w *world) recovers(outcomes []outcome) {
	sent, served := 0, 0
	withdrawn := make(map[string]bool)
	for _, r := range w.removed {
		withdrawn[r.key] = true
	}
	for i := range outcomes {
		if o := &outcomes[i]; o.sent.After(w.recovered) && !withdrawn[o.key] {
			sent++
			if o.status == http.StatusOK && o.err == nil {
				served++
			}
		}
	}
	if sent == 0 || 4*served < sent {
		w.t.Errorf("recovery: %d of %d requests were served after %v", served, sent, recoverWithin)
	}
}
